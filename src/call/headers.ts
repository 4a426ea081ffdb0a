/**
 * Headers that foxtailtide reads and writes, and the rule for forwarding all others. Header lists
 * are flat arrays of alternating names and values, the form of Node's `rawHeaders`, which needs no
 * object per message.
 */
export const headerNames = {
	service: 'foxtailtide-service',
	rank: 'foxtailtide-rank',
	caller: 'foxtailtide-caller',
	/** Time remaining until the caller's deadline, in whole milliseconds. */
	deadline: 'foxtailtide-deadline-ms',
	outcome: 'foxtailtide-outcome',
	refusal: 'foxtailtide-refusal',
	attempt: 'foxtailtide-attempt',
	load: 'foxtailtide-load',
	idempotent: 'foxtailtide-idempotent',
	idempotencyKey: 'idempotency-key',
	/** How many times the caller has sent this key, counted by the caller from 1. */
	sending: 'foxtailtide-sending',
	/** Home node of a key, and the key's id and expiry there; between nodes only. */
	keyHome: 'foxtailtide-key-home',
	keyId: 'foxtailtide-key-id',
	keyExpiry: 'foxtailtide-key-expiry',
	/** Retries already made along the chain of calls. */
	retries: 'foxtailtide-retries',
	/** Marks an attempt that must run alone; between nodes only. */
	suspect: 'foxtailtide-suspect',
} as const;

const ownHeaderPrefix = 'foxtailtide-';

const hopByHopHeaders: ReadonlySet<string> = new Set([
	'connection',
	'expect',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
]);

/** Alternating header names and values, as in Node's `rawHeaders`. */
export type HeaderList = readonly string[];

/**
 * Copies the end-to-end headers. Hop-by-hop headers, headers listed in `Connection` and
 * `foxtailtide-` headers are left out.
 *
 * @param rawHeaders headers of the received message
 * @returns a new list that may be modified
 */
export function copyEndToEndHeaders(rawHeaders: HeaderList): string[] {
	const connectionHeaders = listConnectionHeaders(rawHeaders);
	const copied: string[] = [];
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!;
		const lowerName = name.toLowerCase();
		if (hopByHopHeaders.has(lowerName) || lowerName.startsWith(ownHeaderPrefix)) {
			continue;
		}

		if (connectionHeaders?.has(lowerName)) {
			continue;
		}

		copied.push(name, rawHeaders[index + 1]!);
	}

	return copied;
}

/**
 * Finds a header's value.
 *
 * @param headers headers to search
 * @param lowerName name in lower case
 * @returns the first value, or `undefined`
 */
export function findHeader(headers: HeaderList, lowerName: string): string | undefined {
	for (let index = 0; index < headers.length; index += 2) {
		if (headers[index]!.toLowerCase() === lowerName) {
			return headers[index + 1];
		}
	}

	return undefined;
}

function listConnectionHeaders(rawHeaders: HeaderList): Set<string> | undefined {
	const value = findHeader(rawHeaders, 'connection');
	if (value === undefined || value === 'keep-alive' || value === 'close') {
		return undefined;
	}

	return new Set(value.split(',').map(name => name.trim().toLowerCase()));
}
