/**
 * The closing summary: what a node ran, written as one row on its planned stop and read by
 * others when a key of that node comes back. Keys stand in it as sorted eight-byte digests, so
 * that 10,000 keys take 80 KB. Two keys with one digest only make a key look run that was not.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {ClosingSummary} from '../generated/binding.js';
import type {Home} from './home.js';
import type {ClosedKeys} from './ledger.js';

const digestBytes = 8;

export const executionOutcomes = {
	ran: 'ran',
	/** Never ran at that home, which runs nothing any more. */
	notRun: 'not-run',
	unknown: 'unknown',
} as const;

export type ExecutionOutcome = (typeof executionOutcomes)[keyof typeof executionOutcomes];

export type ClosingRecord = {
	readonly home: Home;
	/** Sorted digests. */
	readonly ran: Uint8Array;
	readonly unknown: Uint8Array;
	/** The home's clock at the end: keys that had expired by then may have been forgotten. */
	readonly closedAt: number;
};

/** A key whose home has ended. */
export type EndedKey = {
	readonly keyId: string;
	/** Milliseconds of that home's wall clock. */
	readonly expiresAt: number;
};

/**
 * Names the row of a home's summary.
 *
 * @param home the home
 * @returns the row's key in the table
 */
export function closingRowKey(home: Home): string {
	return `closing/${encodeURIComponent(home.nodeId)}/${encodeURIComponent(home.incarnation)}`;
}

/**
 * Encodes the summary of a closed ledger.
 *
 * @param home whose ledger it was
 * @param keys what the ledger can tell
 * @returns text for the table
 */
export function encodeClosing(home: Home, keys: ClosedKeys): string {
	const bytes = ClosingSummary.encode({
		homeNodeId: home.nodeId,
		homeIncarnation: home.incarnation,
		ran: sortDigests(keys.ran),
		unknown: sortDigests(keys.unknown),
		closedAt: keys.closedAt,
	}).finish();
	return Buffer.from(bytes).toString('base64');
}

/**
 * Decodes a summary.
 *
 * @param text from the table
 * @returns the summary, or nothing when the text is damaged
 */
export function decodeClosing(text: string): ClosingRecord | undefined {
	try {
		const message = ClosingSummary.decode(Buffer.from(text, 'base64'));
		const isWhole =
			message.homeNodeId !== '' &&
			message.ran.length % digestBytes === 0 &&
			message.unknown.length % digestBytes === 0;
		return isWhole
			? {
					home: {nodeId: message.homeNodeId, incarnation: message.homeIncarnation},
					ran: message.ran,
					unknown: message.unknown,
					closedAt: message.closedAt,
				}
			: undefined;
	} catch {
		return undefined;
	}
}

/**
 * Tells what became of a key whose home has ended.
 *
 * @param key name of the key and its expiry by the clock of that home
 * @param closing the home's summary, if it wrote one
 * @returns `unknown` without a summary: the end of a process proves nothing of what it ran
 */
export function findExecutionOutcome(
	key: EndedKey,
	closing: ClosingRecord | undefined,
): ExecutionOutcome {
	if (!closing) {
		return executionOutcomes.unknown;
	}

	const digest = digestOf(key.keyId);
	if (includesDigest(closing.ran, digest)) {
		return executionOutcomes.ran;
	}

	const isForgotten = key.expiresAt <= closing.closedAt;
	return isForgotten || includesDigest(closing.unknown, digest)
		? executionOutcomes.unknown
		: executionOutcomes.notRun;
}

function digestOf(keyId: string) {
	return createHash('sha256').update(keyId).digest().subarray(0, digestBytes);
}

function sortDigests(keyIds: readonly string[]) {
	return Buffer.concat(keyIds.map(digestOf).toSorted(Buffer.compare));
}

function includesDigest(sorted: Uint8Array, digest: Uint8Array): boolean {
	let low = 0;
	let high = sorted.length / digestBytes;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		const start = middle * digestBytes;
		const order = Buffer.compare(digest, sorted.subarray(start, start + digestBytes));
		if (order === 0) {
			return true;
		}

		if (order < 0) {
			high = middle;
		} else {
			low = middle + 1;
		}
	}

	return false;
}
