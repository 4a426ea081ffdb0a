/**
 * The crashes at which requests ran, and what follows for each request. A request that ran at several crashes,
 * and at no success since, is a suspect: it runs alone. A crash of a server that runs a suspect alone proves it
 * the cause, and it is refused. Nothing follows from a single crash, at which mostly innocent requests ran.
 *
 * Crashes are counted by their ids, so that merging the news of other nodes does not depend on their order or
 * number. Entries are bounded; those that are not proven give way first. Counts do not expire, since a request
 * may come again at any rate. The functions change the state in place.
 */

export const crashVerdicts = {
	/** Nothing speaks against it. */
	sound: 'sound',
	/** Must run alone. */
	suspect: 'suspect',
	/** Is refused. */
	proven: 'proven',
} as const;

export type CrashVerdict = (typeof crashVerdicts)[keyof typeof crashVerdicts];

/** The crash of a server process. */
export type Crash = {
	/** The same at every node. */
	readonly id: string;
	/** Whether the request was the only one that ran. */
	readonly isAlone: boolean;
	/**
	 * Who sent the request, if the digest stands for several senders. Then the proof takes crashes of two of them, as
	 * the cause may lie with one.
	 */
	readonly sender?: string;
};

type Entry = {
	/** Ids of the first crashes, as many as make a suspect. */
	readonly crashes: Set<string>;
	/** The first senders, as many as a proof takes. */
	readonly senders: Set<string>;
	/** Monotonic milliseconds; undefined without a proof. */
	readonly provenUntil: number | undefined;
};

export type CrashHistoryLimits = {
	readonly entries: number;
	readonly crashesOfSuspect: number;
	/** How long a proven request is refused; then it is a suspect. */
	readonly provenMilliseconds: number;
};

/** The crashes known to one node, by the digest of the requests; oldest entry first. */
export type CrashHistory = {
	readonly limits: CrashHistoryLimits;
	readonly entries: Map<string, Entry>;
};

const sendersOfProof = 2;

export const defaultCrashHistoryLimits: CrashHistoryLimits = {
	entries: 2048,
	crashesOfSuspect: 2,
	provenMilliseconds: 3_600_000,
};

/**
 * Creates an empty history.
 *
 * @param limits bounds of the history
 * @returns the history
 */
export function createCrashHistory(
	limits: CrashHistoryLimits = defaultCrashHistoryLimits,
): CrashHistory {
	return {limits, entries: new Map()};
}

/**
 * Finds the verdict on a request.
 *
 * @param history the history
 * @param digest digest of the request
 * @param now monotonic milliseconds
 * @returns the verdict
 */
export function findCrashVerdict(
	{entries, limits}: CrashHistory,
	digest: string,
	now: number,
): CrashVerdict {
	const entry = entries.get(digest);
	if (entry === undefined) {
		return crashVerdicts.sound;
	}

	if (entry.provenUntil !== undefined) {
		return now < entry.provenUntil ? crashVerdicts.proven : crashVerdicts.suspect;
	}

	return entry.crashes.size < limits.crashesOfSuspect
		? crashVerdicts.sound
		: crashVerdicts.suspect;
}

/**
 * Records a crash at which a request ran.
 *
 * @param history changed in place
 * @param digest digest of the request
 * @param crash the crash
 * @param now monotonic milliseconds
 * @returns whether the crash proves the request the cause
 */
export function recordCrash(
	history: CrashHistory,
	digest: string,
	crash: Crash,
	now: number,
): boolean {
	const verdict = findCrashVerdict(history, digest, now);
	if (verdict === crashVerdicts.proven) {
		return false;
	}

	const {crashes, senders, provenUntil} = history.entries.get(digest) ?? createEntry();
	if (crashes.size < history.limits.crashesOfSuspect) {
		crashes.add(crash.id);
	}

	if (crash.sender !== undefined && senders.size < sendersOfProof) {
		senders.add(crash.sender);
	}

	store(history, digest, {crashes, senders, provenUntil});
	const isProof =
		verdict === crashVerdicts.suspect &&
		crash.isAlone &&
		(crash.sender === undefined || senders.size >= sendersOfProof);
	if (isProof) {
		recordProof(history, digest, now);
	}

	return isProof;
}

/**
 * Records that a request is proven to crash servers.
 *
 * @param history changed in place
 * @param digest digest of the request
 * @param now monotonic milliseconds
 */
export function recordProof(history: CrashHistory, digest: string, now: number): void {
	const entry = history.entries.get(digest) ?? createEntry();
	const provenUntil = now + history.limits.provenMilliseconds;
	store(history, digest, {...entry, provenUntil});
}

/**
 * Records that another node holds a request for a suspect.
 *
 * @param history changed in place
 * @param digest digest of the request
 * @param now monotonic milliseconds
 */
export function recordSuspicion(
	history: CrashHistory,
	digest: string,
	now: number,
): void {
	if (findCrashVerdict(history, digest, now) !== crashVerdicts.sound) {
		return;
	}

	const {crashesOfSuspect} = history.limits;
	const crashes = Array.from({length: crashesOfSuspect}, (_, index) => `told ${index}`);
	store(history, digest, {...createEntry(), crashes: new Set(crashes)});
}

/**
 * Clears a request that a server has answered, unless it is proven.
 *
 * @param history changed in place
 * @param digest digest of the request
 * @param now monotonic milliseconds
 */
export function clearSuspicion(history: CrashHistory, digest: string, now: number): void {
	if (findCrashVerdict(history, digest, now) !== crashVerdicts.proven) {
		history.entries.delete(digest);
	}
}

function createEntry(): Entry {
	return {crashes: new Set(), senders: new Set(), provenUntil: undefined};
}

function store(history: CrashHistory, digest: string, entry: Entry): void {
	const {entries, limits} = history;
	entries.delete(digest);
	if (entries.size >= limits.entries) {
		const [oldest] = entries.keys();
		entries.delete(findOldestUnproven(history) ?? oldest!);
	}

	entries.set(digest, entry);
}

function findOldestUnproven({entries}: CrashHistory): string | undefined {
	for (const [digest, {provenUntil}] of entries) {
		if (provenUntil === undefined) {
			return digest;
		}
	}

	return undefined;
}
