/** State of the model: two nodes, a table, sendings in progress, and how often each key ran. */
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

export function copyState(state: ModelState): ModelState {
	return {
		...state,
		nodes: state.nodes.map(node => ({
			...node,
			ledger: copyLedger(node.ledger),
			executions: [...node.executions],
		})),
		rows: {...state.rows},
		closings: {...state.closings},
		delayedWrites: [...state.delayedWrites],
		sendings: state.sendings.map(sending => ({...sending})),
		runCounts: {...state.runCounts},
		suspects: [...state.suspects],
		remaining: {...state.remaining},
	};
}

export function copyLedger(ledger: Ledger): Ledger {
	const entries = [...ledger.entries].map(([id, entry]) => [id, {...entry}] as const);
	return {...ledger, entries: new Map(entries)};
}

export function serializeState(state: ModelState): string {
	return JSON.stringify(state, (name, value: unknown) => {
		if (name === 'limits') {
			return undefined;
		}

		return value instanceof Map ? [...(value as Map<unknown, unknown>)] : value;
	});
}

export function homeOf(state: ModelState, index: number): Home {
	return {nodeId: String(index), incarnation: String(state.nodes[index]!.incarnation)};
}

export function findNode(state: ModelState, home: Home): Node | undefined {
	const node = state.nodes[Number(home.nodeId)]!;
	return String(node.incarnation) === home.incarnation ? node : undefined;
}

export function isSuspect(state: ModelState, home: Home): boolean {
	return state.suspects.some(suspect => isSameHome(suspect, home));
}

export function isGone(state: ModelState, home: Home): boolean {
	return isSuspect(state, home) || findNode(state, home) === undefined;
}

export function restart(state: ModelState, index: number): void {
	const ended = homeOf(state, index);
	state.nodes[index] = createNode(state.nodes[index]!.incarnation + 1);
	state.sendings = state.sendings.filter(({ingress}) => !isSameHome(ingress, ended));
}

export function applyWrite(state: ModelState, {keyId, binding, version}: Write): boolean {
	const row = state.rows[keyId];
	if (row?.version !== version) {
		return false;
	}

	state.rows[keyId] = {binding, version: String(Number(version ?? 0) + 1)};
	return true;
}

export function reportOutcome(state: ModelState, keyId: string, outcome: Outcome): void {
	const hasRun = state.runCounts[keyId]! > 0;
	if ((outcome === outcomes.notRun && hasRun) || (outcome === outcomes.ran && !hasRun)) {
		state.fault = `${keyId} is reported as ${outcome}`;
	}
}
