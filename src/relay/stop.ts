/**
 * Graceful shutdown of a relay node. First the node reports not ready but still serves, so that the
 * capacity of its server is used as long as possible; then the gate accepts no new requests. The
 * process ends when nothing is in flight and no more calls come, or when the grace period ends. A
 * late call is served only if its deadline is before the end.
 */

/** State of a node that is stopping. */
export type StopProgress = {
	/** Time since the stop was requested. */
	readonly elapsedMilliseconds: number;
	readonly graceMilliseconds: number;
	/** Unfinished calls and attempts at the gate. */
	readonly inFlight: number;
	/** Time since the last call. */
	readonly idleMilliseconds: number;
	/** Whether all calls are refused already. */
	readonly isClosed: boolean;
};

export const stopSteps = {
	/** The node reports not ready; its gate still accepts requests. */
	notice: 'notice',
	/** The gate accepts no new requests and finishes those in flight. */
	drain: 'drain',
	/** The node refuses all calls, so that none is accepted that the end would cut. */
	close: 'close',
	end: 'end',
} as const;

export type StopStep = (typeof stopSteps)[keyof typeof stopSteps];

/** Callers check readiness once a second and leave after two failed checks. */
const noticePhaseMilliseconds = 1200;
const callersGoneMilliseconds = 2600;
/** The node is idle when no call has come for this long. */
const idleThresholdMilliseconds = 300;
/**
 * Time reserved for closing listeners and writing the log. It takes a tenth of a second of processor
 * time, for which a VM with a fraction of a core needs several times as long.
 */
const closeReserveMilliseconds = 1000;
/** The reserve is at most this share of the grace period; callers count on the rest. */
const closeReserveShare = 1 / 6;

/**
 * Computes when a stopping process ends at the latest.
 *
 * @param stoppingSince monotonic time of the stop request, in milliseconds
 * @param graceMilliseconds the grace period
 * @returns monotonic milliseconds
 */
export function computeStopDeadline(
	stoppingSince: number,
	graceMilliseconds: number,
): number {
	const reserve = Math.min(
		closeReserveMilliseconds,
		graceMilliseconds * closeReserveShare,
	);
	return stoppingSince + graceMilliseconds - reserve;
}

/**
 * Decides the current step of a stop. Between the last call that may be accepted and the end lies one step at least, in
 * which a call that was received meanwhile is refused.
 *
 * @param progress the state of the node
 * @returns the step
 */
export function decideStopStep(progress: StopProgress): StopStep {
	const {elapsedMilliseconds, graceMilliseconds, inFlight} = progress;
	if (elapsedMilliseconds >= computeStopDeadline(0, graceMilliseconds)) {
		return stopSteps.end;
	}

	if (elapsedMilliseconds < noticePhaseMilliseconds) {
		return stopSteps.notice;
	}

	if (progress.isClosed) {
		return inFlight === 0 ? stopSteps.end : stopSteps.close;
	}

	const isIdle =
		elapsedMilliseconds >= callersGoneMilliseconds &&
		progress.idleMilliseconds >= idleThresholdMilliseconds;
	return isIdle && inFlight === 0 ? stopSteps.close : stopSteps.drain;
}
