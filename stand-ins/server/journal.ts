/**
 * Journal of a stand-in server, with one entry for each request that it started to run. Tests
 * compare it with the outcome that each caller received.
 */
import {appendFileSync} from 'node:fs';

export const runStates = {
	running: 'running',
	completed: 'completed',
	cancelled: 'cancelled',
	failed: 'failed',
} as const;

export type RunState = (typeof runStates)[keyof typeof runStates];

/** A request that the server started to run. */
export type JournalEntry = {
	readonly requestId: string;
	/** Value of the `Idempotency-Key` header; empty if absent. */
	readonly key: string;
	readonly path: string;
	/** Start of the run as Unix time in milliseconds. */
	readonly startedAt: number;
	state: RunState;
	/** SHA-256 of the body in hexadecimal; empty until the whole body has been read. */
	digest: string;
	/** Number of body bytes read so far. */
	bytes: number;
};

const maximumEntries = 1_000_000;

export type Journal = {
	readonly entries: JournalEntry[];
	readonly recordStart: (entry: JournalEntry) => void;
	readonly clear: () => void;
};

/**
 * Creates an empty journal. It never evicts entries; `recordStart` throws once it is full.
 *
 * @param file receives one JSON line for each started request; absent for memory only
 * @returns the journal
 */
export function createJournal(file?: string): Journal {
	const entries: JournalEntry[] = [];
	return {
		entries,
		recordStart(entry) {
			if (entries.length >= maximumEntries) {
				throw new Error('The journal is full: clear it with DELETE /stand-in/journal');
			}

			entries.push(entry);
			if (file !== undefined) {
				appendFileSync(file, `${JSON.stringify(entry)}\n`);
			}
		},
		clear() {
			entries.length = 0;
		},
	};
}
