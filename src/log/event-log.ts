/**
 * The event log: one JSON line on standard output for each decision about a request and each
 * change of the process's state. Lines are written asynchronously from a bounded buffer; lines
 * that do not fit are dropped and counted, and the next line written reports the count.
 */
import sonicBoom from 'sonic-boom';
import type {LogFields, Logger} from './log.js';

const standardOutput = 1;
/** Maximum number of buffered bytes; further lines are dropped. */
const bufferBytes = 1_048_576;
/** Number of bytes collected before a write. */
const writeBytes = 8192;
/** Time after which buffered lines are written even if there are fewer bytes. */
const flushMilliseconds = 100;

export type EventLog = Logger & {
	/** Number of lines dropped since the log was created. */
	readonly countDropped: () => number;
	/** Writes the buffered lines; resolves once they are written or after one second. */
	readonly close: () => Promise<void>;
};

const closeTimeoutMilliseconds = 1000;

/**
 * Creates the event log of a process.
 *
 * @param common fields added to each line
 * @param descriptor file descriptor to write to
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
		sync: false,
	});
	let dropped = 0;
	let reported = 0;
	let isClosed = false;
	let flushTimer: NodeJS.Timeout | undefined;
	stream.on('drop', () => {
		dropped += 1;
	});
	// A closed reader must not end the process.
	stream.on('error', () => {
		dropped += 1;
	});

	// Each line is built directly: a logging library costs several times as much for each line.
	function write(level: string, message: string, fields: LogFields | undefined): void {
		if (isClosed) {
			dropped += 1;
			return;
		}

		const line = {time: new Date().toISOString(), level, message, ...common};
		const lost = dropped > reported ? {droppedLines: dropped} : {};
		reported = dropped;
		stream.write(`${JSON.stringify(Object.assign(line, fields, lost))}\n`);
		flushTimer ??= setTimeout(flush, flushMilliseconds);
	}

	function flush(): void {
		flushTimer = undefined;
		stream.flush();
	}

	return {
		info(message, fields) {
			write('info', message, fields);
		},
		warn(message, fields) {
			write('warn', message, fields);
		},
		error(message, fields) {
			write('error', message, fields);
		},
		countDropped: () => dropped,
		async close() {
			isClosed = true;
			clearTimeout(flushTimer);
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
