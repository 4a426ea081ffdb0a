/**
 * Processor time and resident memory of processes, as the kernel counts them.
 */
import {readFileSync} from 'node:fs';

/** What processes have used. */
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
 * Reads what processes have used until now.
 *
 * @param processIds the processes
 * @returns the sum over the processes
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
