/**
 * Headers that the product reads and writes, and the rule for passing the rest on. Header lists
 * are flat arrays of names and values in turn, the form in which Node's `http` takes and gives
 * them without building an object per message.
 */
export const headerNames = {
	service: 'foxtailtide-service',
	rank: 'foxtailtide-rank',
	caller: 'foxtailtide-caller',
	/** Time that remains until the caller's deadline, in whole milliseconds. */
	deadline: 'foxtailtide-deadline-ms',
	outcome: 'foxtailtide-outcome',
	refusal: 'foxtailtide-refusal',
	attempt: 'foxtailtide-attempt',
	load: 'foxtailtide-load',
	idempotent: 'foxtailtide-idempotent',
	idempotencyKey: 'idempotency-key',
	/** Which sending of its key this is, by the caller's own count from 1. */
	sending: 'foxtailtide-sending',
	/** Home of a key and the key's name and expiry there, between nodes. */
	keyHome: 'foxtailtide-key-home',
	keyId: 'foxtailtide-key-id',
	keyExpiry: 'foxtailtide-key-expiry',
	/** How many retries the call has already cost along its chain of calls. */
	retries: 'foxtailtide-retries',
	/** Marks an attempt that must run alone, between nodes only. */
	suspect: 'foxtailtide-suspect',
} as const;

const ownHeaderPrefix = 'foxtailtide-';

const hopHeaders: ReadonlySet<string> = new Set([
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

/** Header names and values in turn, as in Node's `rawHeaders`. */
export type HeaderList = readonly string[];

/**
 * Copies the headers that travel end to end. Hop-by-hop headers, headers that `Connection`
 * names, and all headers of the product's own are left out.
 *
 * @param rawHeaders headers of the received message
 * @returns a new list that the caller may extend
 */
export function copyEndToEndHeaders(rawHeaders: HeaderList): string[] {
	const named = listConnectionHeaders(rawHeaders);
	const copied: string[] = [];
	for (let index = 0; index < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!;
		const lowerName = name.toLowerCase();
		if (hopHeaders.has(lowerName) || lowerName.startsWith(ownHeaderPrefix)) {
			continue;
		}

		if (named?.has(lowerName)) {
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
