/** What a node of the model can do next: take a sending, run, stop, end or freeze. */
import {
	beginClosing,
	closingRowKey,
	encodeClosing,
	finishClosing,
	isSameHome,
	markAnswered,
	markDispatched,
	markLost,
	markNotRun,
	type Ledger,
} from '../../../src/binding/index.js';
import {
	type Execution,
	type Node,
	type ModelState,
	ownKey,
	issuedKey,
	homeOf,
	isSuspect,
	restart,
} from './state.js';
import {routeSending} from './sending-transitions.js';

export const keyIds = [ownKey, issuedKey];

export type AddTransition = (label: string, change: (copy: ModelState) => void) => void;

export function addNodeTransitions(
	world: ModelState,
	index: number,
	node: Node,
	move: AddTransition,
): void {
	const home = homeOf(world, index);
	if (node.isFrozen) {
		move(`thaw ${index}`, copy => {
			copy.nodes[index]!.isFrozen = false;
		});
		if (!isSuspect(world, home)) {
			move(`suspect ${index}`, copy => {
				copy.suspects.push(home);
			});
		}

		return;
	}

	const hasWork =
		node.executions.length > 0 ||
		world.sendings.some(({ingress}) => isSameHome(ingress, home));
	if (world.remaining.freezes > 0 && hasWork) {
		move(`freeze ${index}`, copy => {
			copy.remaining.freezes -= 1;
			copy.nodes[index]!.isFrozen = true;
		});
	}

	if (world.remaining.sendings > 0 && node.ledger.phase === 'open') {
		for (const keyId of keyIds) {
			move(`send ${keyId} at ${index}`, copy => {
				copy.remaining.sendings -= 1;
				const sending = {keyId, ingress: home, progress: undefined, target: undefined};
				copy.sendings.push(sending);
				routeSending(copy, sending);
			});
		}
	}

	for (const [position, execution] of node.executions.entries()) {
		addExecutionTransitions(index, position, execution, move);
	}

	addStopTransitions(world, index, node, move);
}

export function addExecutionTransitions(
	index: number,
	position: number,
	execution: Execution,
	move: AddTransition,
): void {
	const {keyId} = execution;
	const end = (label: string, mark: (ledger: Ledger) => void) => {
		move(`${label} ${keyId} at ${index}`, copy => {
			const node = copy.nodes[index]!;
			node.executions.splice(position, 1);
			mark(node.ledger);
		});
	};

	if (execution.isDispatched) {
		end('answer', ledger => {
			markAnswered(ledger, keyId, {status: 200, headers: [], body: undefined});
		});
		end('lose', ledger => {
			markLost(ledger, keyId);
		});
		return;
	}

	end('prove not run', ledger => {
		markNotRun(ledger, keyId);
	});
	move(`dispatch ${keyId} at ${index}`, copy => {
		const node = copy.nodes[index]!;
		markDispatched(node.ledger, keyId);
		node.executions[position] = {keyId, isDispatched: true};
		copy.runCounts[keyId]! += 1;
		if (copy.runCounts[keyId]! > 1) {
			copy.fault = `${keyId} ran twice`;
		}
	});
}

export function addStopTransitions(
	world: ModelState,
	index: number,
	node: Node,
	move: AddTransition,
): void {
	if (world.remaining.restarts > 0 && node.ledger.phase === 'open') {
		move(`crash ${index}`, copy => {
			copy.remaining.restarts -= 1;
			restart(copy, index);
		});
		move(`stop ${index}`, copy => {
			copy.remaining.restarts -= 1;
			beginClosing(copy.nodes[index]!.ledger);
		});
	}

	if (node.ledger.phase === 'closing' && node.executions.length === 0) {
		move(`close ${index}`, copy => {
			const keys = finishClosing(copy.nodes[index]!.ledger, copy.clock);
			const home = homeOf(copy, index);
			copy.closings[closingRowKey(home)] = encodeClosing(home, keys!);
		});
		move(`close ${index} without a row`, copy => {
			finishClosing(copy.nodes[index]!.ledger, copy.clock);
		});
	}

	if (node.ledger.phase === 'closed') {
		move(`exit ${index}`, copy => {
			restart(copy, index);
		});
	}
}
