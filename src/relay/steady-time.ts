/** Reads the clock that also counts the time for which this VM was suspended. */
import {performance} from 'node:perf_hooks';
import {
	createSuspendedClock,
	readSuspendedClock,
	type ClockReading,
} from '../proven-age/index.js';

/** Both clocks have to be read within this time to be compared. */
const maximumGapMilliseconds = 2;
const maximumTries = 3;

/** @returns a function that returns milliseconds since some moment, never fewer than before */
export function createSteadyTime(): () => number {
	const clock = createSuspendedClock(readBoth() ?? {monotonic: 0, wall: 0});
	return () => {
		const reading = readBoth();
		return reading === undefined
			? performance.now() + clock.gained
			: readSuspendedClock(clock, reading);
	};
}

/** Reads both clocks; undefined if this process was held up between the readings each time. */
function readBoth(): ClockReading | undefined {
	for (let tries = 0; tries < maximumTries; tries += 1) {
		const monotonic = performance.now();
		const wall = Date.now();
		if (performance.now() - monotonic < maximumGapMilliseconds) {
			return {monotonic, wall};
		}
	}

	return undefined;
}
