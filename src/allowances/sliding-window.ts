/**
 * Counts uses within a window that slides with time. Uses that follow each other closely share an
 * entry, which leaves the window with its latest use, so the count is never too low.
 */

type Entry = {readonly startedAt: number; latestAt: number; count: number};

export type SlidingWindow = {
	readonly spanMilliseconds: number;
	/** In the order of time. */
	readonly entries: Entry[];
	total: number;
};

/** Bound on the number of entries of a window. */
const maximumEntries = 500;
const evenSteps = 250;

/**
 * Creates an empty window.
 *
 * @param spanMilliseconds how long a use counts
 * @returns the window
 */
export function createSlidingWindow(spanMilliseconds: number): SlidingWindow {
	return {spanMilliseconds, entries: [], total: 0};
}

/**
 * Adds uses.
 *
 * @param window the window, changed in place
 * @param count number of uses; may be a fraction
 * @param now monotonic milliseconds
 */
export function addUses(window: SlidingWindow, count: number, now: number): void {
	if (count <= 0) {
		return;
	}

	const last = window.entries.at(-1);
	window.total += count;
	if (last && now - last.startedAt < window.spanMilliseconds / maximumEntries) {
		last.latestAt = now;
		last.count += count;
		return;
	}

	window.entries.push({startedAt: now, latestAt: now, count});
}

/**
 * Adds uses that are spread evenly over the span before a moment, among those that are there.
 *
 * @param window the window, changed in place
 * @param count number of uses
 * @param until end of the span, in monotonic milliseconds
 */
export function fillEvenly(window: SlidingWindow, count: number, until: number): void {
	const known = window.entries.splice(0);
	const filled: Entry[] = [];
	for (let step = 1; step <= evenSteps; step += 1) {
		const at = until - window.spanMilliseconds * (1 - step / evenSteps);
		filled.push({startedAt: at, latestAt: at, count: count / evenSteps});
	}

	window.total = 0;
	const merged = [...known, ...filled].toSorted((a, b) => a.latestAt - b.latestAt);
	for (const entry of merged) {
		addUses(window, entry.count, entry.latestAt);
	}
}

/**
 * Takes back uses that did not happen. The oldest ones go: the count then stays at least as high
 * as that of the uses which did happen.
 *
 * @param window the window, changed in place
 * @param count number of uses
 */
export function takeBack(window: SlidingWindow, count: number): void {
	let remaining = count;
	while (remaining > 0) {
		const [oldest] = window.entries;
		if (oldest === undefined) {
			return;
		}

		const taken = Math.min(remaining, oldest.count);
		oldest.count -= taken;
		window.total -= taken;
		remaining -= taken;
		if (oldest.count <= 0) {
			window.entries.shift();
		}
	}
}

/**
 * Counts the uses within the window.
 *
 * @param window the window; entries that have left it are dropped
 * @param now monotonic milliseconds
 */
export function countUses(window: SlidingWindow, now: number): number {
	for (;;) {
		const [oldest] = window.entries;
		if (oldest === undefined) {
			window.total = 0;
			return 0;
		}

		if (now - oldest.latestAt < window.spanMilliseconds) {
			return window.total;
		}

		window.total -= oldest.count;
		window.entries.shift();
	}
}

/**
 * Computes when the count has fallen to a level, if nothing is added.
 *
 * @param window the window
 * @param level the highest count wanted
 * @param now monotonic milliseconds
 * @returns milliseconds from now
 */
export function timeUntilLevel(
	window: SlidingWindow,
	level: number,
	now: number,
): number {
	let count = countUses(window, now);
	for (const entry of window.entries) {
		if (count <= level) {
			break;
		}

		count -= entry.count;
		if (count <= level) {
			return Math.max(0, entry.latestAt + window.spanMilliseconds - now);
		}
	}

	return count <= level ? 0 : window.spanMilliseconds;
}
