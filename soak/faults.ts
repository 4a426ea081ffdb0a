/**
 * Generates the faults of a run from its seed: what happens, to which node, when and for how long.
 * They follow one another and may overlap. Pure, so that a seed always gives the same schedule.
 */
import {createRandom} from '../src/load/random.js';

export const faultKinds = {
	/** Planned: the node gets SIGTERM and is restarted. */
	stopNode: 'stop-node',
	/** Planned: the node gets SIGHUP. */
	reloadNode: 'reload-node',
	/** Planned: the server drains and ends, and a new one starts at its address. */
	replaceServer: 'replace-server',
	/** Planned: a new version of the configuration is stored. */
	changeConfiguration: 'change-configuration',
	killNode: 'kill-node',
	/** SIGSTOP, then SIGCONT. */
	pauseNode: 'pause-node',
	/** The wall clock of the node jumps. */
	jumpClock: 'jump-clock',
	delayNode: 'delay-node',
	resetNode: 'reset-node',
	silenceNode: 'silence-node',
	/** Traffic to the node arrives; its responses are lost. */
	cutAnswersOfNode: 'cut-answers-of-node',
	crashServer: 'crash-server',
	slowServer: 'slow-server',
	shedServer: 'shed-server',
	failServer: 'fail-server',
	/** The server closes the connection before its response is complete. */
	breakServer: 'break-server',
	/** The server responds with the id of another request. */
	confuseServer: 'confuse-server',
	/** The server runs requests and never responds. */
	muteServer: 'mute-server',
	/** The server names a limit on its request rate, for longer than nodes need to learn of it. */
	limitServer: 'limit-server',
	resetServer: 'reset-server',
	silenceServer: 'silence-server',
	refuseAtStore: 'refuse-at-store',
	slowStore: 'slow-store',
	silenceStore: 'silence-store',
	loseStoreAnswers: 'lose-store-answers',
	/** The store is away and comes back from a copy some seconds old. */
	restoreStore: 'restore-store',
} as const;

export type FaultKind = (typeof faultKinds)[keyof typeof faultKinds];

const plannedKinds: readonly FaultKind[] = [
	faultKinds.stopNode,
	faultKinds.reloadNode,
	faultKinds.replaceServer,
	faultKinds.changeConfiguration,
];

/** Faults that may cost a caller its connection or response without a defect of the node. */
const unplannedKinds: readonly FaultKind[] = Object.values(faultKinds).filter(
	kind => !plannedKinds.includes(kind),
);

export type Fault = {
	readonly kind: FaultKind;
	/** Milliseconds from the start of the faults. */
	readonly at: number;
	readonly durationMilliseconds: number;
	/** Index of the node, or of the node whose server is hit. */
	readonly target: number;
};

export type Schedule = {
	readonly seed: number;
	/** Whether all faults are planned operations, which must not cut off any request. */
	readonly isPlanned: boolean;
	readonly faults: readonly Fault[];
};

/** One seed in this many has planned operations only. */
const plannedRunInterval = 4;
const minimumPauseMilliseconds = 150;
const maximumPauseMilliseconds = 1800;
const minimumFaultMilliseconds = 200;
const maximumFaultMilliseconds = 3500;
/** Share of the faults that hit the same node as the previous fault, which may still be active. */
const sameTargetShare = 0.25;

/**
 * Generates the faults of a run.
 *
 * @param seed integer seed of the run
 * @param nodes number of nodes
 * @param milliseconds time in which faults begin
 * @returns the faults in the order of their start
 */
export function generateSchedule(
	seed: number,
	nodes: number,
	milliseconds: number,
): Schedule {
	const random = createRandom(seed);
	const between = (low: number, high: number): number =>
		Math.round(low + (high - low) * random());
	const isPlanned = seed % plannedRunInterval === 0;
	const kinds = isPlanned ? plannedKinds : [...plannedKinds, ...unplannedKinds];
	const faults: Fault[] = [];
	let target = 0;
	for (
		let at = 0;
		at < milliseconds;
		at += between(minimumPauseMilliseconds, maximumPauseMilliseconds)
	) {
		target = random() < sameTargetShare ? target : between(0, nodes - 1);
		faults.push({
			kind: kinds[between(0, kinds.length - 1)]!,
			at,
			durationMilliseconds: between(minimumFaultMilliseconds, maximumFaultMilliseconds),
			target,
		});
	}

	return {seed, isPlanned, faults};
}

/**
 * Tells whether a fault may cost callers a response.
 *
 * @param kind kind of the fault
 * @returns false for planned operations
 */
export function isDisturbance(kind: FaultKind): boolean {
	return unplannedKinds.includes(kind);
}
