/**
 * Time on this VM that also counts while the VM is suspended. The monotonic clock may stand still
 * then, and the wall clock does not but may be set. Whatever the wall clock gains on the monotonic
 * one counts as time that passed, so that the reading never falls behind true time, except by what
 * the wall clock was set back during a suspension itself.
 */

/** One reading of both clocks of a VM, in milliseconds. */
export type ClockReading = {readonly monotonic: number; readonly wall: number};

export type SuspendedClock = {
	/** How far the wall clock was ahead of the monotonic one when this was last compared. */
	lead: number;
	/** Time that the monotonic clock did not count, or that the wall clock was set forward. */
	gained: number;
};

/** Steps back of less than this are taken for the rounding and the drift of the clocks. */
const toleranceMilliseconds = 20;

/**
 * Creates a clock that has the reading of the monotonic one.
 *
 * @param reading a present reading
 * @returns the clock
 */
export function createSuspendedClock({monotonic, wall}: ClockReading): SuspendedClock {
	return {lead: wall - monotonic, gained: 0};
}

/**
 * Reads the clock, and updates it in place.
 *
 * @param clock the clock
 * @param reading a present reading
 * @returns milliseconds; never fewer than before
 */
export function readSuspendedClock(
	clock: SuspendedClock,
	{monotonic, wall}: ClockReading,
): number {
	const lead = wall - monotonic;
	if (lead > clock.lead) {
		clock.gained += lead - clock.lead;
		clock.lead = lead;
	} else if (lead < clock.lead - toleranceMilliseconds) {
		clock.lead = lead;
	}

	return monotonic + clock.gained;
}
