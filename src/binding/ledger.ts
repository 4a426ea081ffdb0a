/**
 * The ledger of a node incarnation: the state of each key whose home it is. A key may run again
 * only after proof that it did not run; a key whose outcome is lost stays unknown.
 *
 * The ledger is bounded. It refuses new keys rather than evict one that can still be sent: a key is
 * evicted only after its expiry, and refused as expired from then on. The clock used for expiry
 * never goes back, even if the wall clock does.
 *
 * All functions update the ledger in place.
 */

/** The complete answer as sent to the caller. */
export type KeptAnswer = {
	readonly status: number;
	/** Alternating names and values. */
	readonly headers: readonly string[];
	/** Absent if it was too large to keep. */
	readonly body: Uint8Array | undefined;
};

export const claimKinds = {
	/** The request may run now. */
	run: 'run',
	/** The request is running already: wait for its answer. */
	join: 'join',
	/** The request ran; the claim carries its answer. */
	answered: 'answered',
	/** The key was used with another request. */
	conflict: 'conflict',
	/** The request may have run and will not run again. */
	unknown: 'unknown',
	/** Not in the ledger and expired: the request may have run before. */
	expired: 'expired',
	/** Not in the ledger, which is full: not run. */
	full: 'full',
	/** Not in the ledger, and the node is stopping: not run, and never run here. */
	closing: 'closing',
	/** Not in the ledger; its summary may have been written, so another node may have run it. */
	closed: 'closed',
} as const;

export type ClaimKind = (typeof claimKinds)[keyof typeof claimKinds];

export type Claim =
	| {readonly kind: Exclude<ClaimKind, 'answered'>}
	| {readonly kind: 'answered'; readonly answer: KeptAnswer};

export type LedgerLimits = {
	/** Largest number of keys. */
	readonly keys: number;
	/** Largest total size of kept bodies, in bytes. */
	readonly bodyBytes: number;
	/** Largest size of one kept body, in bytes. */
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
	/** By this node's wall clock, in milliseconds. */
	readonly expiresAt: number;
	answer: KeptAnswer | undefined;
};

export const ledgerPhases = {
	open: 'open',
	/** Accepts no new keys and finishes the running ones. */
	closing: 'closing',
	/** Nothing runs any more; the closing summary may have been written. */
	closed: 'closed',
} as const;

export type LedgerPhase = (typeof ledgerPhases)[keyof typeof ledgerPhases];

export type Ledger = {
	readonly limits: LedgerLimits;
	readonly entries: Map<string, Entry>;
	bodyBytes: number;
	running: number;
	/** Highest wall clock seen so far, in milliseconds. */
	clock: number;
	/** Lower bound of the expiry of all entries, in milliseconds of the wall clock. */
	nextExpiry: number;
	phase: LedgerPhase;
};

/** Names of the keys in a closed ledger, by outcome. */
export type ClosedKeys = {
	readonly ran: readonly string[];
	readonly unknown: readonly string[];
	/** The ledger's clock; keys expired by then may have been evicted. */
	readonly closedAt: number;
};

/** A key with the fingerprint of its request. */
export type KeyedRequest = {
	readonly keyId: string;
	readonly fingerprint: string;
	/** By this node's wall clock, in milliseconds. */
	readonly expiresAt: number;
};

/**
 * Creates an empty ledger.
 *
 * @param limits bounds of the ledger
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
		return claimExisting(entry, request);
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
 * Marks a key as dispatched. Must be called before the first byte of its request is sent.
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
 * Records the answer of a key. A body beyond the limits is dropped, the rest is kept.
 *
 * @param ledger updated in place
 * @param keyId a key that this caller claimed
 * @param answer the complete answer
 */
export function markAnswered(ledger: Ledger, keyId: string, answer: KeptAnswer): void {
	const entry = settle(ledger, keyId, entryStates.answered);
	if (!entry) {
		return;
	}

	const bytes = answer.body?.byteLength ?? 0;
	const isBodyKept =
		bytes <= ledger.limits.bodyBytesPerKey &&
		ledger.bodyBytes + bytes <= ledger.limits.bodyBytes;
	entry.answer = isBodyKept ? answer : {...answer, body: undefined};
	ledger.bodyBytes += isBodyKept ? bytes : 0;
}

/**
 * Releases a key after proof that no server received its request or will receive it.
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
 * Marks the outcome of a key as lost. A request with the key never runs again.
 *
 * @param ledger updated in place
 * @param keyId a key that this caller claimed
 */
export function markLost(ledger: Ledger, keyId: string): void {
	settle(ledger, keyId, entryStates.lost);
}

/**
 * Begins a planned stop: from now on new keys are refused.
 *
 * @param ledger updated in place
 */
export function beginClosing(ledger: Ledger): void {
	if (ledger.phase === ledgerPhases.open) {
		ledger.phase = ledgerPhases.closing;
	}
}

/**
 * Finishes a planned stop. Must be called before the first attempt to write the closing
 * summary, since a write may take effect although its answer is lost.
 *
 * @param ledger updated in place
 * @param now wall clock in milliseconds
 * @returns the keys that ran and those with a lost outcome, or `undefined` while a key is running
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

function claimExisting(entry: Entry, request: KeyedRequest): Claim {
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
