/**
 * The event log: one JSON line on standard output for each decision that touches a request or
 * changes what the process believes. Lines are written in the background from a bounded buffer;
 * what does not fit is dropped and counted, and the count is logged once there is room.
 */
import {createConsola, type LogObject} from 'consola';
import sonicBoom from 'sonic-boom';
import type {LogFields, Logger} from './log.js';

const standardOutput = 1;
/** Bytes that wait to be written before lines are dropped. */
const bufferBytes = 1_048_576;
/** Bytes that are gathered into one write. */
const writeBytes = 8192;
/** Longest time that a line waits for others, in milliseconds. */
const flushMilliseconds = 100;

export type EventLog = Logger & {
	/** Lines dropped since the start. */
	readonly countDropped: () => number;
	/** Writes what waits; returns once it is written or a second has passed. */
	readonly close: () => Promise<void>;
};

const closeTimeoutMilliseconds = 1000;

/**
 * Creates the event log of a process.
 *
 * @param common fields that each line carries
 * @param descriptor file descriptor that the lines are written to
 * @returns the log
 */
export function createEventLog(
	common: LogFields,
	descriptor: number = standardOutput,
): EventLog {
	const stream = new sonicBoom.SonicBoom({
		fd: descriptor,
		minLength: writeBytes,
		maxLength: bufferBytes,
		periodicFlush: flushMilliseconds,
		sync: false,
	});
	let dropped = 0;
	let reported = 0;
	let isClosed = false;
	stream.on('drop', () => {
		dropped += 1;
	});
	// A reader that has gone away must not end the process.
	stream.on('error', () => {
		dropped += 1;
	});

	function write(entry: LogObject): void {
		if (isClosed) {
			dropped += 1;
			return;
		}

		const [message, fields] = entry.args as readonly unknown[];
		const line = {time: entry.date.toISOString(), level: entry.type, message, ...common};
		const lost = dropped > reported ? {droppedLines: dropped} : {};
		reported = dropped;
		stream.write(`${JSON.stringify(Object.assign(line, fields, lost))}\n`);
	}

	const consola = createConsola({
		reporters: [{log: write}],
		// Equal lines are separate decisions.
		throttle: 0,
	});
	return {
		info(message, fields) {
			consola.info(message, fields ?? {});
		},
		warn(message, fields) {
			consola.warn(message, fields ?? {});
		},
		error(message, fields) {
			consola.error(message, fields ?? {});
		},
		countDropped: () => dropped,
		async close() {
			isClosed = true;
			await new Promise<void>(resolve => {
				const timer = setTimeout(resolve, closeTimeoutMilliseconds);
				stream.once('finish', () => {
					clearTimeout(timer);
					resolve();
				});
				stream.end();
			});
		},
	};
}
