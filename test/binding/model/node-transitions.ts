/** Transitions of a node: accept a sending, run it, freeze, crash or stop. */
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
	state: ModelState,
	index: number,
	node: Node,
	addTransition: AddTransition,
): void {
	const home = homeOf(state, index);
	if (node.isFrozen) {
		addTransition(`thaw ${index}`, copy => {
			copy.nodes[index]!.isFrozen = false;
		});
		if (!isSuspect(state, home)) {
			addTransition(`suspect ${index}`, copy => {
				copy.suspects.push(home);
			});
		}

		return;
	}

	const hasWork =
		node.executions.length > 0 ||
		state.sendings.some(({ingress}) => isSameHome(ingress, home));
	if (state.remaining.freezes > 0 && hasWork) {
		addTransition(`freeze ${index}`, copy => {
			copy.remaining.freezes -= 1;
			copy.nodes[index]!.isFrozen = true;
		});
	}

	if (state.remaining.sendings > 0 && node.ledger.phase === 'open') {
		for (const keyId of keyIds) {
			addTransition(`send ${keyId} at ${index}`, copy => {
				copy.remaining.sendings -= 1;
				const sending = {keyId, ingress: home, progress: undefined, target: undefined};
				copy.sendings.push(sending);
				routeSending(copy, sending);
			});
		}
	}

	for (const [position, execution] of node.executions.entries()) {
		addExecutionTransitions(index, position, execution, addTransition);
	}

	addStopTransitions(state, index, node, addTransition);
}

export function addExecutionTransitions(
	index: number,
	position: number,
	execution: Execution,
	addTransition: AddTransition,
): void {
	const {keyId} = execution;
	const addEnd = (label: string, mark: (ledger: Ledger) => void) => {
		addTransition(`${label} ${keyId} at ${index}`, copy => {
			const node = copy.nodes[index]!;
			node.executions.splice(position, 1);
			mark(node.ledger);
		});
	};

	if (execution.isDispatched) {
		addEnd('answer', ledger => {
			markAnswered(ledger, keyId, {status: 200, headers: [], body: undefined});
		});
		addEnd('lose', ledger => {
			markLost(ledger, keyId);
		});
		return;
	}

	addEnd('prove not run', ledger => {
		markNotRun(ledger, keyId);
	});
	addTransition(`dispatch ${keyId} at ${index}`, copy => {
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
	state: ModelState,
	index: number,
	node: Node,
	addTransition: AddTransition,
): void {
	if (state.remaining.restarts > 0 && node.ledger.phase === 'open') {
		addTransition(`crash ${index}`, copy => {
			copy.remaining.restarts -= 1;
			restart(copy, index);
		});
		addTransition(`stop ${index}`, copy => {
			copy.remaining.restarts -= 1;
			beginClosing(copy.nodes[index]!.ledger);
		});
	}

	if (node.ledger.phase === 'closing' && node.executions.length === 0) {
		addTransition(`close ${index}`, copy => {
			const keys = finishClosing(copy.nodes[index]!.ledger, copy.clock);
			const home = homeOf(copy, index);
			copy.closings[closingRowKey(home)] = encodeClosing(home, keys!);
		});
		addTransition(`close ${index} without a row`, copy => {
			finishClosing(copy.nodes[index]!.ledger, copy.clock);
		});
	}

	if (node.ledger.phase === 'closed') {
		addTransition(`exit ${index}`, copy => {
			restart(copy, index);
		});
	}
}
