/**
 * The ledger of one node incarnation: what became of each key whose home it is. A key runs
 * again only after it is proven that it did not run; a key whose fate is lost stays unknown.
 *
 * The ledger is bounded. It refuses new keys before it forgets one that can still come back: a
 * key is forgotten only after its expiry, and then the expiry refuses it. The clock that judges
 * expiry never goes back, whatever the wall clock does.
 *
 * All functions update the ledger in place.
 */

/** A whole answer as it was given to the caller. */
export type KeptAnswer = {
	readonly status: number;
	/** Names and values in turn. */
	readonly headers: readonly string[];
	/** Absent when it was too large to keep. */
	readonly body: Uint8Array | undefined;
};

export const claimKinds = {
	/** The key is this caller's to run now. */
	run: 'run',
	/** It runs already: wait for the same answer. */
	join: 'join',
	/** It ran: here is the answer. */
	answered: 'answered',
	/** The key was used with another request. */
	conflict: 'conflict',
	/** It may have run; it will not run again. */
	unknown: 'unknown',
	/** Not in the ledger and out of date: it may have run earlier. */
	expired: 'expired',
	/** Not in the ledger, and no room: not run. */
	full: 'full',
	/** Not in the ledger, and the node is stopping: not run yet, and not here. */
	closing: 'closing',
	/** Not in the ledger, and its summary is out: another node may have run it since. */
	closed: 'closed',
} as const;

export type ClaimKind = (typeof claimKinds)[keyof typeof claimKinds];

export type Claim =
	| {readonly kind: Exclude<ClaimKind, 'answered'>}
	| {readonly kind: 'answered'; readonly answer: KeptAnswer};

export type LedgerLimits = {
	/** Keys remembered at once. */
	readonly keys: number;
	/** Bytes of kept bodies, all together. */
	readonly bodyBytes: number;
	/** Bytes of one kept body. */
	readonly bodyBytesPerKey: number;
};

export const defaultLedgerLimits: LedgerLimits = {
	keys: 20_000,
	bodyBytes: 8 * 1024 * 1024,
	bodyBytesPerKey: 16 * 1024,
};

export const entryStates = {
	claimed: 'claimed',
	dispatched: 'dispatched',
	answered: 'answered',
	lost: 'lost',
} as const;

export type EntryState = (typeof entryStates)[keyof typeof entryStates];

type Entry = {
	state: EntryState;
	readonly fingerprint: string;
	/** Milliseconds of this node's wall clock. */
	readonly expiresAt: number;
	answer: KeptAnswer | undefined;
};

export const ledgerPhases = {
	open: 'open',
	/** Takes no new key and finishes those that run. */
	closing: 'closing',
	/** Nothing runs any more, and the summary may have been written. */
	closed: 'closed',
} as const;

export type LedgerPhase = (typeof ledgerPhases)[keyof typeof ledgerPhases];

export type Ledger = {
	readonly limits: LedgerLimits;
	readonly entries: Map<string, Entry>;
	bodyBytes: number;
	running: number;
	/** Highest wall clock seen, in milliseconds. */
	clock: number;
	/** No entry expires before, in milliseconds of the wall clock. */
	nextExpiry: number;
	phase: LedgerPhase;
};

/** Names of the keys that a closed ledger can still tell of. */
export type ClosedKeys = {
	readonly ran: readonly string[];
	readonly unknown: readonly string[];
	/** The ledger's clock: keys that expired before may have been forgotten. */
	readonly closedAt: number;
};

/** A key and the request that came with it. */
export type KeyedRequest = {
	readonly keyId: string;
	readonly fingerprint: string;
	/** Milliseconds of this node's wall clock. */
	readonly expiresAt: number;
};

/**
 * Creates an empty ledger.
 *
 * @param limits its bounds
 * @returns the ledger
 */
export function createLedger(limits: LedgerLimits = defaultLedgerLimits): Ledger {
	return {
		limits,
		entries: new Map(),
		bodyBytes: 0,
		running: 0,
		clock: 0,
		nextExpiry: Number.POSITIVE_INFINITY,
		phase: ledgerPhases.open,
	};
}

/**
 * Claims a key for a request.
 *
 * @param ledger updated in place
 * @param request the key and the request's fingerprint
 * @param now wall clock in milliseconds
 * @returns what to do with the request
 */
export function claimKey(ledger: Ledger, request: KeyedRequest, now: number): Claim {
	ledger.clock = Math.max(ledger.clock, now);
	const entry = ledger.entries.get(request.keyId);
	if (entry) {
		return claimKnown(entry, request);
	}

	if (request.expiresAt <= ledger.clock) {
		return {kind: claimKinds.expired};
	}

	if (ledger.phase !== ledgerPhases.open) {
		return {kind: claimKinds[ledger.phase]};
	}

	if (!ensureCapacity(ledger)) {
		return {kind: claimKinds.full};
	}

	ledger.entries.set(request.keyId, {
		state: entryStates.claimed,
		fingerprint: request.fingerprint,
		expiresAt: request.expiresAt,
		answer: undefined,
	});
	ledger.nextExpiry = Math.min(ledger.nextExpiry, request.expiresAt);
	ledger.running += 1;
	return {kind: claimKinds.run};
}

/**
 * Notes that a key's request is about to be handed on. Must come before the first byte.
 *
 * @param ledger updated in place
 * @param keyId a key that this caller claimed
 */
export function markDispatched(ledger: Ledger, keyId: string): void {
	const entry = ledger.entries.get(keyId);
	if (entry?.state === entryStates.claimed) {
		entry.state = entryStates.dispatched;
	}
}

/**
 * Keeps the answer of a key. A body beyond the bounds is left out; that it ran is kept.
 *
 * @param ledger updated in place
 * @param keyId a key that this caller claimed
 * @param answer the whole answer
 */
export function markAnswered(ledger: Ledger, keyId: string, answer: KeptAnswer): void {
	const entry = settle(ledger, keyId, entryStates.answered);
	if (!entry) {
		return;
	}

	const bytes = answer.body?.byteLength ?? 0;
	const isKept =
		bytes <= ledger.limits.bodyBytesPerKey &&
		ledger.bodyBytes + bytes <= ledger.limits.bodyBytes;
	entry.answer = isKept ? answer : {...answer, body: undefined};
	ledger.bodyBytes += isKept ? bytes : 0;
}

/**
 * Frees a key after proof that no server received its request and none will.
 *
 * @param ledger updated in place
 * @param keyId a key that this caller claimed
 */
export function markNotRun(ledger: Ledger, keyId: string): void {
	if (settle(ledger, keyId, entryStates.lost)) {
		ledger.entries.delete(keyId);
	}
}

/**
 * Gives up on learning a key's fate. It never runs again.
 *
 * @param ledger updated in place
 * @param keyId a key that this caller claimed
 */
export function markLost(ledger: Ledger, keyId: string): void {
	settle(ledger, keyId, entryStates.lost);
}

/**
 * Begins a planned stop: no new key runs here again, for ever.
 *
 * @param ledger updated in place
 */
export function beginClosing(ledger: Ledger): void {
	if (ledger.phase === ledgerPhases.open) {
		ledger.phase = ledgerPhases.closing;
	}
}

/**
 * Ends a planned stop. Must come before the first try to write the summary, since a write may
 * take effect although its answer is lost.
 *
 * @param ledger updated in place
 * @param now wall clock in milliseconds
 * @returns the keys that ran and those whose fate is lost, or nothing while a key still runs
 */
export function finishClosing(ledger: Ledger, now: number): ClosedKeys | undefined {
	ledger.clock = Math.max(ledger.clock, now);
	if (ledger.running > 0) {
		return undefined;
	}

	ledger.phase = ledgerPhases.closed;
	const ran: string[] = [];
	const unknown: string[] = [];
	for (const [keyId, entry] of ledger.entries) {
		(entry.state === entryStates.answered ? ran : unknown).push(keyId);
	}

	return {ran, unknown, closedAt: ledger.clock};
}

function claimKnown(entry: Entry, request: KeyedRequest): Claim {
	if (entry.fingerprint !== request.fingerprint) {
		return {kind: claimKinds.conflict};
	}

	if (entry.state === entryStates.answered && entry.answer) {
		return {kind: claimKinds.answered, answer: entry.answer};
	}

	return {kind: entry.state === entryStates.lost ? claimKinds.unknown : claimKinds.join};
}

function settle(ledger: Ledger, keyId: string, state: EntryState): Entry | undefined {
	const entry = ledger.entries.get(keyId);
	if (!entry || isSettled(entry)) {
		return undefined;
	}

	entry.state = state;
	ledger.running -= 1;
	ledger.nextExpiry = Math.min(ledger.nextExpiry, entry.expiresAt);
	return entry;
}

function isSettled(entry: Entry): boolean {
	return entry.state === entryStates.answered || entry.state === entryStates.lost;
}

function ensureCapacity(ledger: Ledger): boolean {
	if (ledger.entries.size >= ledger.limits.keys && ledger.nextExpiry <= ledger.clock) {
		evictExpired(ledger);
	}

	return ledger.entries.size < ledger.limits.keys;
}

function evictExpired(ledger: Ledger): void {
	ledger.nextExpiry = Number.POSITIVE_INFINITY;
	for (const [keyId, entry] of ledger.entries) {
		if (entry.expiresAt > ledger.clock) {
			ledger.nextExpiry = Math.min(ledger.nextExpiry, entry.expiresAt);
		} else if (isSettled(entry)) {
			ledger.entries.delete(keyId);
			ledger.bodyBytes -= entry.answer?.body?.byteLength ?? 0;
		}
	}
}
