/**
 * Requests that may crash the servers that run them. Every request in flight at a crash becomes
 * a suspect. A suspect runs alone at a gate, so that a second crash proves it: then it is
 * quarantined and refused. One good run clears a suspect. Entries expire, and their number is
 * bounded; suspects give way before proven ones.
 *
 * What nodes tell each other is merged by rules that do not depend on the order of the news.
 * The functions change the state in place.
 */

export const quarantineStatuses = {
	/** Was in flight at a crash: runs alone. */
	suspect: 'suspect',
	/** Crashed a server while it ran alone: refused. */
	proven: 'proven',
} as const;

export type QuarantineStatus =
	(typeof quarantineStatuses)[keyof typeof quarantineStatuses];

type Entry = {
	readonly status: QuarantineStatus;
	/** Milliseconds of the monotonic clock. */
	readonly expiresAt: number;
};

export type QuarantineLimits = {
	readonly entries: number;
	readonly suspectMilliseconds: number;
	readonly provenMilliseconds: number;
};

/** What one node knows; owned by one task. */
export type Quarantine = {
	readonly limits: QuarantineLimits;
	/** By digest of the request, oldest first. */
	readonly entries: Map<string, Entry>;
};

export const defaultQuarantineLimits: QuarantineLimits = {
	entries: 512,
	suspectMilliseconds: 60_000,
	provenMilliseconds: 600_000,
};

/**
 * Creates an empty quarantine.
 *
 * @param limits its bounds
 * @returns the quarantine
 */
export function createQuarantine(
	limits: QuarantineLimits = defaultQuarantineLimits,
): Quarantine {
	return {limits, entries: new Map()};
}

/**
 * Finds what is known against a request.
 *
 * @param quarantine an entry that has expired is dropped
 * @param digest digest of the request
 * @param now present time, milliseconds of the monotonic clock
 * @returns the verdict, or `undefined` when nothing is known
 */
export function findQuarantineStatus(
	quarantine: Quarantine,
	digest: string,
	now: number,
): QuarantineStatus | undefined {
	const entry = quarantine.entries.get(digest);
	if (entry === undefined) {
		return undefined;
	}

	if (now >= entry.expiresAt) {
		quarantine.entries.delete(digest);
		return undefined;
	}

	return entry.status;
}

/**
 * Takes in a verdict, from a crash seen here or told by another node. A proven request stays
 * proven until it expires.
 *
 * @param quarantine changed in place
 * @param digest digest of the request
 * @param verdict what is said of it
 * @param now present time, milliseconds of the monotonic clock
 * @returns whether this is news, worth telling others
 */
export function recordQuarantineStatus(
	quarantine: Quarantine,
	digest: string,
	verdict: QuarantineStatus,
	now: number,
): boolean {
	const known = findQuarantineStatus(quarantine, digest, now);
	if (known === quarantineStatuses.proven || known === verdict) {
		return false;
	}

	const {limits, entries} = quarantine;
	const lifetime =
		verdict === quarantineStatuses.proven
			? limits.provenMilliseconds
			: limits.suspectMilliseconds;
	entries.delete(digest);
	makeRoom(quarantine, now);
	entries.set(digest, {status: verdict, expiresAt: now + lifetime});
	return true;
}

/**
 * Clears a suspect that has run well. A proven request is not cleared: it ran well before, too.
 *
 * @param quarantine changed in place
 * @param digest digest of the request
 */
export function clearSuspect(quarantine: Quarantine, digest: string): void {
	if (quarantine.entries.get(digest)?.status === quarantineStatuses.suspect) {
		quarantine.entries.delete(digest);
	}
}

function makeRoom(quarantine: Quarantine, now: number): void {
	const {entries, limits} = quarantine;
	if (entries.size < limits.entries) {
		return;
	}

	for (const [digest, {expiresAt}] of entries) {
		if (now >= expiresAt) {
			entries.delete(digest);
		}
	}

	if (entries.size < limits.entries) {
		return;
	}

	const [oldest] = entries.keys();
	entries.delete(findOldestSuspect(quarantine) ?? oldest!);
}

function findOldestSuspect(quarantine: Quarantine): string | undefined {
	for (const [digest, {status: verdict}] of quarantine.entries) {
		if (verdict === quarantineStatuses.suspect) {
			return digest;
		}
	}

	return undefined;
}
