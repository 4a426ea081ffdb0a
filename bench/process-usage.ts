/** Processor time and resident memory of processes, from `/proc/PID/stat`. */
import {readFileSync} from 'node:fs';

/** Sums over several processes. */
export type ProcessUsage = {
	readonly cpuSeconds: number;
	readonly residentBytes: number;
};

const ticksPerSecond = 100;
const pageBytes = 4096;
const userTicksField = 11;
const systemTicksField = 12;
const residentPagesField = 21;

/**
 * Reads the processor time used so far and the resident memory.
 *
 * @param processIds ids of the processes
 * @returns the sums over the processes
 */
export function readProcessUsage(processIds: readonly number[]): ProcessUsage {
	let cpuSeconds = 0;
	let residentBytes = 0;
	for (const processId of processIds) {
		const text = readFileSync(`/proc/${processId}/stat`, 'utf8');
		const fields = text
			.slice(text.lastIndexOf(')') + 2)
			.split(' ')
			.map(Number);
		cpuSeconds += (fields[userTicksField]! + fields[systemTicksField]!) / ticksPerSecond;
		residentBytes += fields[residentPagesField]! * pageBytes;
	}

	return {cpuSeconds, residentBytes};
}
