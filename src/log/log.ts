/**
 * Operational log: one line per change of state, as text or JSON. Events of single calls are
 * counted, not logged.
 */
import process from 'node:process';
import {createConsola, type ConsolaInstance, type LogObject} from 'consola';

export const logFormats = {
	text: 'text',
	json: 'json',
} as const;

export type LogFormat = (typeof logFormats)[keyof typeof logFormats];

/** Structured fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

export type Logger = {
	readonly info: (message: string, fields?: LogFields) => void;
	readonly warn: (message: string, fields?: LogFields) => void;
	readonly error: (message: string, fields?: LogFields) => void;
};

/**
 * Creates a logger that writes to standard error.
 *
 * @param format output format, text or JSON
 * @param common fields added to each line
 * @returns the logger
 */
export function createLogger(format: LogFormat, common: LogFields = {}): Logger {
	const consola =
		format === logFormats.json
			? createConsola({reporters: [{log: writeJson}]})
			: createConsola({stdout: process.stderr});
	return {
		info(message, fields) {
			write(consola, 'info', message, {...common, ...fields});
		},
		warn(message, fields) {
			write(consola, 'warn', message, {...common, ...fields});
		},
		error(message, fields) {
			write(consola, 'error', message, {...common, ...fields});
		},
	};
}

function write(
	consola: ConsolaInstance,
	level: 'info' | 'warn' | 'error',
	message: string,
	fields: LogFields,
): void {
	consola[level](message, fields);
}

function writeJson(entry: LogObject): void {
	const [message, fields] = entry.args as readonly unknown[];
	const line = {time: entry.date.toISOString(), level: entry.type, message};
	process.stderr.write(`${JSON.stringify(Object.assign(line, fields))}\n`);
}
