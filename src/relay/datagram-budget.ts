/** What the datagrams between nodes may cost, from the budget for measuring. */
import {trySpend, type MeasuringBudget, type MeasuringUse} from '../measuring/index.js';

export type DatagramBudgetOptions = {
	readonly budget: MeasuringBudget;
	/** Called with the use, or that it was refused, and the bytes. */
	readonly onSpend: (use: MeasuringUse | 'refused', bytes: number) => void;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
};

/** Upper bound of the time to encode or decode one datagram. */
const datagramMicroseconds = 20;

/**
 * Creates the function that spends the cost of one datagram.
 *
 * @param options the budget, the metrics and the clock
 * @returns a function that tells whether the datagram may be sent
 */
export function createDatagramBudget({budget, onSpend, now}: DatagramBudgetOptions) {
	return (use: MeasuringUse, bytes: number): boolean => {
		const cost = {bytes, processorMicroseconds: datagramMicroseconds};
		const isGranted = trySpend(budget, use, cost, now());
		onSpend(isGranted ? use : 'refused', bytes);
		return isGranted;
	};
}
