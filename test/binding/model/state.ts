/** The world of the model: two nodes, a table and a journal of what the server ran. */
import {
	createLedger,
	isSameHome,
	type Binding,
	type BindingProgress,
	type Home,
	type Ledger,
	type VersionedBinding,
} from '../../../src/binding/index.js';
import {outcomes, type Outcome} from '../../../src/call/index.js';

export type Bounds = {
	readonly sendings: number;
	readonly freezes: number;
	readonly restarts: number;
	readonly tableFaults: number;
	readonly clockSteps: number;
};

export type Execution = {readonly keyId: string; readonly isDispatched: boolean};

export type Node = {
	incarnation: number;
	isFrozen: boolean;
	ledger: Ledger;
	executions: Execution[];
};

export type Sending = {
	readonly keyId: string;
	readonly ingress: Home;
	progress: BindingProgress | undefined;
	target: Home | undefined;
};

export type Write = {
	readonly keyId: string;
	readonly binding: Binding;
	readonly version?: string;
};

export type ModelState = {
	nodes: Node[];
	rows: Record<string, VersionedBinding>;
	closings: Record<string, string>;
	delayedWrites: Write[];
	sendings: Sending[];
	runCounts: Record<string, number>;
	suspects: Home[];
	clock: number;
	remaining: Record<keyof Bounds, number>;
	fault: string | undefined;
};

export const ownKey = 'own';

export const issuedKey = 'issued';

export const issuer: Home = {nodeId: '0', incarnation: '0'};

export const expiresAt = 1;

export const ledgerLimits = {keys: 1, bodyBytes: 0, bodyBytesPerKey: 0};

export function createState(bounds: Bounds): ModelState {
	return {
		nodes: [createNode(0), createNode(0)],
		rows: {},
		closings: {},
		delayedWrites: [],
		sendings: [],
		runCounts: {[ownKey]: 0, [issuedKey]: 0},
		suspects: [],
		clock: 0,
		remaining: {...bounds},
		fault: undefined,
	};
}

export function createNode(incarnation: number): Node {
	return {
		incarnation,
		isFrozen: false,
		ledger: createLedger(ledgerLimits),
		executions: [],
	};
}

export function copyState(world: ModelState): ModelState {
	return {
		...world,
		nodes: world.nodes.map(node => ({
			...node,
			ledger: copyLedger(node.ledger),
			executions: [...node.executions],
		})),
		rows: {...world.rows},
		closings: {...world.closings},
		delayedWrites: [...world.delayedWrites],
		sendings: world.sendings.map(sending => ({...sending})),
		runCounts: {...world.runCounts},
		suspects: [...world.suspects],
		remaining: {...world.remaining},
	};
}

export function copyLedger(ledger: Ledger): Ledger {
	const entries = [...ledger.entries].map(([id, entry]) => [id, {...entry}] as const);
	return {...ledger, entries: new Map(entries)};
}

export function serializeState(world: ModelState): string {
	return JSON.stringify(world, (name, value: unknown) => {
		if (name === 'limits') {
			return undefined;
		}

		return value instanceof Map ? [...(value as Map<unknown, unknown>)] : value;
	});
}

export function homeOf(world: ModelState, index: number): Home {
	return {nodeId: String(index), incarnation: String(world.nodes[index]!.incarnation)};
}

export function findNode(world: ModelState, home: Home): Node | undefined {
	const node = world.nodes[Number(home.nodeId)]!;
	return String(node.incarnation) === home.incarnation ? node : undefined;
}

export function isSuspect(world: ModelState, home: Home): boolean {
	return world.suspects.some(suspect => isSameHome(suspect, home));
}

export function isGone(world: ModelState, home: Home): boolean {
	return isSuspect(world, home) || findNode(world, home) === undefined;
}

export function restart(world: ModelState, index: number): void {
	const ended = homeOf(world, index);
	world.nodes[index] = createNode(world.nodes[index]!.incarnation + 1);
	world.sendings = world.sendings.filter(({ingress}) => !isSameHome(ingress, ended));
}

export function applyWrite(world: ModelState, {keyId, binding, version}: Write): boolean {
	const row = world.rows[keyId];
	if (row?.version !== version) {
		return false;
	}

	world.rows[keyId] = {binding, version: String(Number(version ?? 0) + 1)};
	return true;
}

export function reportOutcome(world: ModelState, keyId: string, outcome: Outcome): void {
	const hasRun = world.runCounts[keyId]! > 0;
	if ((outcome === outcomes.notRun && hasRun) || (outcome === outcomes.ran && !hasRun)) {
		world.fault = `${keyId} is told ${outcome}`;
	}
}
