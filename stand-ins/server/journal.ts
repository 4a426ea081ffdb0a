/**
 * The journal of a stand-in server: one entry for each request that it began to run. Tests
 * compare it with what each caller was told.
 */
import {appendFileSync} from 'node:fs';

export const runStates = {
	running: 'running',
	completed: 'completed',
	cancelled: 'cancelled',
	failed: 'failed',
} as const;

export type RunState = (typeof runStates)[keyof typeof runStates];

/** One request that began to run. */
export type JournalEntry = {
	readonly requestId: string;
	/** Value of the `Idempotency-Key` header; empty when absent. */
	readonly key: string;
	readonly path: string;
	/** Wall clock at which the run began, in milliseconds. */
	readonly startedAt: number;
	state: RunState;
	/** SHA-256 of the body in hexadecimal digits; empty until the body is whole. */
	digest: string;
	/** Length of the body that was read. */
	bytes: number;
};

const capacityEntries = 1_000_000;

export type Journal = {
	readonly entries: JournalEntry[];
	readonly begin: (entry: JournalEntry) => void;
	readonly clear: () => void;
};

/**
 * Creates a journal that refuses nothing and forgets nothing below its capacity.
 *
 * @param file receives one JSON line for each begun request; absent for memory only
 * @returns the journal
 */
export function createJournal(file?: string): Journal {
	const entries: JournalEntry[] = [];
	return {
		entries,
		begin(entry) {
			if (entries.length >= capacityEntries) {
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
