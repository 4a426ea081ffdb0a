/**
 * The planned stop of a relay node. Callers are told first and still served; then the gate takes
 * nothing new, so that the capacity of its server is used as long as possible; the process ends
 * when nothing is in flight and no caller comes any more, or at the end of its grace. A caller that
 * comes in spite of that is served only if its answer is sure to come before the end.
 */

/** How a node stands while it stops. */
export type StopProgress = {
	/** Times since the stop was asked for, in milliseconds. */
	readonly elapsedMilliseconds: number;
	readonly graceMilliseconds: number;
	/** Requests of callers and attempts at the gate that are not answered yet. */
	readonly inFlight: number;
	/** Time since the last request of a caller. */
	readonly idleMilliseconds: number;
};

export const stopSteps = {
	/** Callers are told; the gate still takes work. */
	notice: 'notice',
	/** The gate takes nothing new; what is in flight goes on. */
	drain: 'drain',
	end: 'end',
} as const;

export type StopStep = (typeof stopSteps)[keyof typeof stopSteps];

/** Callers ask once a second whether a node is ready, and leave after two answers that it isn't. */
const noticePhaseMilliseconds = 1200;
const callersGoneMilliseconds = 2600;
/** No caller has come for this long. */
const quietMilliseconds = 300;
/** Time kept back to close listeners and write the log. */
const closeReserveMilliseconds = 500;

/**
 * Tells when a process that was asked to stop ends at the latest.
 *
 * @param stoppingSince monotonic time at which it was asked, in milliseconds
 * @param graceMilliseconds time that it is given
 * @returns monotonic milliseconds
 */
export function computeStopDeadline(
	stoppingSince: number,
	graceMilliseconds: number,
): number {
	return stoppingSince + graceMilliseconds - closeReserveMilliseconds;
}

/**
 * Decides how a stop goes on.
 *
 * @param progress how the node stands
 * @returns the step that it is in now
 */
export function decideStopStep(progress: StopProgress): StopStep {
	const {elapsedMilliseconds, graceMilliseconds, inFlight} = progress;
	if (elapsedMilliseconds >= computeStopDeadline(0, graceMilliseconds)) {
		return stopSteps.end;
	}

	if (elapsedMilliseconds < noticePhaseMilliseconds) {
		return stopSteps.notice;
	}

	const isQuiet =
		elapsedMilliseconds >= callersGoneMilliseconds &&
		progress.idleMilliseconds >= quietMilliseconds;
	return isQuiet && inFlight === 0 ? stopSteps.end : stopSteps.drain;
}
