/**
 * The closing summary: the keys that a node ran, written as one row on its planned stop and
 * read by other nodes when such a key is sent again. Keys are stored as sorted eight-byte digests;
 * 10,000 keys take 80 KB. A digest collision can only make a key that did not run appear as run.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {ClosingSummary} from '../generated/binding.js';
import type {Home} from './home.js';
import type {ClosedKeys} from './ledger.js';

const digestBytes = 8;

export const executionOutcomes = {
	ran: 'ran',
	/** Did not run at that home, and cannot run there any more. */
	notRun: 'not-run',
	unknown: 'unknown',
} as const;

export type ExecutionOutcome = (typeof executionOutcomes)[keyof typeof executionOutcomes];

export type ClosingRecord = {
	readonly home: Home;
	/** Digests of the keys, sorted. */
	readonly ran: Uint8Array;
	readonly unknown: Uint8Array;
	/** The home's wall clock at the stop, in milliseconds; keys expired by then may be missing. */
	readonly closedAt: number;
};

/** A key whose home has terminated. */
export type EndedKey = {
	readonly keyId: string;
	/** By that home's wall clock, in milliseconds. */
	readonly expiresAt: number;
};

/**
 * Returns the table key of a home's closing summary.
 *
 * @param home the home
 * @returns the row's key in the table
 */
export function closingRowKey(home: Home): string {
	return `closing/${encodeURIComponent(home.nodeId)}/${encodeURIComponent(home.incarnation)}`;
}

/**
 * Encodes the closing summary of a ledger.
 *
 * @param home the home of the ledger
 * @param keys the keys of the closed ledger
 * @returns the row's value, base64
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
 * Decodes a closing summary.
 *
 * @param text the row's value
 * @returns the summary, or `undefined` if the text is malformed
 */
export function decodeClosing(text: string): ClosingRecord | undefined {
	try {
		const message = ClosingSummary.decode(Buffer.from(text, 'base64'));
		const isValid =
			message.homeNodeId !== '' &&
			message.homeIncarnation !== '' &&
			message.ran.length % digestBytes === 0 &&
			message.unknown.length % digestBytes === 0;
		return isValid
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
 * Finds the outcome of a key whose home has terminated.
 *
 * @param key name of the key and its expiry by the clock of that home
 * @param closing the home's closing summary, if it wrote one
 * @returns `unknown` without a summary: that a process terminated does not tell what it ran
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

	const mayBeForgotten = key.expiresAt <= closing.closedAt;
	return mayBeForgotten || includesDigest(closing.unknown, digest)
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
