/**
 * The faults of a run, drawn from its seed: what happens, to which place, when and for how long.
 * They come in series and overlap. Pure, so that a seed always gives the same schedule.
 */
import {createRandom} from '../src/load/random.js';

export const faultKinds = {
	/** Planned: the node gets SIGTERM and starts again. */
	stopNode: 'stop-node',
	/** Planned: the node gets SIGHUP. */
	reloadNode: 'reload-node',
	/** Planned: the server drains, ends, and a new one takes its address. */
	replaceServer: 'replace-server',
	/** Planned: a new version of the configuration. */
	changeConfiguration: 'change-configuration',
	killNode: 'kill-node',
	/** SIGSTOP, then SIGCONT. */
	pauseNode: 'pause-node',
	/** The wall clock of the node jumps. */
	jumpClock: 'jump-clock',
	delayNode: 'delay-node',
	resetNode: 'reset-node',
	silenceNode: 'silence-node',
	/** What the node answers is lost; what it is sent arrives. */
	cutAnswersOfNode: 'cut-answers-of-node',
	crashServer: 'crash-server',
	slowServer: 'slow-server',
	shedServer: 'shed-server',
	failServer: 'fail-server',
	/** The server breaks off answers. */
	breakServer: 'break-server',
	/** The server answers with the name of another request. */
	confuseServer: 'confuse-server',
	/** The server runs requests and never answers. */
	muteServer: 'mute-server',
	resetServer: 'reset-server',
	silenceServer: 'silence-server',
	refuseAtStore: 'refuse-at-store',
	slowStore: 'slow-store',
	silenceStore: 'silence-store',
	loseStoreAnswers: 'lose-store-answers',
} as const;

export type FaultKind = (typeof faultKinds)[keyof typeof faultKinds];

const plannedKinds: readonly FaultKind[] = [
	faultKinds.stopNode,
	faultKinds.reloadNode,
	faultKinds.replaceServer,
	faultKinds.changeConfiguration,
];

/** Faults after which a caller may lose its connection or its answer for no fault of the node. */
const unplannedKinds: readonly FaultKind[] = Object.values(faultKinds).filter(
	kind => !plannedKinds.includes(kind),
);

export type Fault = {
	readonly kind: FaultKind;
	/** Milliseconds from the start of the faults. */
	readonly at: number;
	readonly durationMilliseconds: number;
	/** Number of the node or of the server beside it. */
	readonly target: number;
};

export type Schedule = {
	readonly seed: number;
	/** Whether all that happens is planned work, which must cut nothing. */
	readonly isPlanned: boolean;
	readonly faults: readonly Fault[];
};

/** One run in this many holds planned work alone. */
const plannedOneIn = 4;
const shortestPauseMilliseconds = 150;
const longestPauseMilliseconds = 1800;
const shortestFaultMilliseconds = 200;
const longestFaultMilliseconds = 3500;
/** Share of the faults that strike the place of the one before, while it may still last. */
const sameTargetShare = 0.25;

/**
 * Draws the faults of a run.
 *
 * @param seed whole number that names the run
 * @param nodes number of nodes
 * @param milliseconds time in which faults begin
 * @returns the faults in the order of their beginning
 */
export function generateSchedule(
	seed: number,
	nodes: number,
	milliseconds: number,
): Schedule {
	const random = createRandom(seed);
	const between = (low: number, high: number): number =>
		Math.round(low + (high - low) * random());
	const isPlanned = seed % plannedOneIn === 0;
	const kinds = isPlanned ? plannedKinds : [...plannedKinds, ...unplannedKinds];
	const faults: Fault[] = [];
	let target = 0;
	for (
		let at = 0;
		at < milliseconds;
		at += between(shortestPauseMilliseconds, longestPauseMilliseconds)
	) {
		target = random() < sameTargetShare ? target : between(0, nodes - 1);
		faults.push({
			kind: kinds[between(0, kinds.length - 1)]!,
			at,
			durationMilliseconds: between(shortestFaultMilliseconds, longestFaultMilliseconds),
			target,
		});
	}

	return {seed, isPlanned, faults};
}

/**
 * Tells whether a fault may cost callers an answer.
 *
 * @param kind kind of the fault
 * @returns false for planned work
 */
export function isDisturbance(kind: FaultKind): boolean {
	return unplannedKinds.includes(kind);
}
