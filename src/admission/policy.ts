/**
 * The admission settings of a preset: the ranks, the share that each keeps during a flood, the
 * length of the queue and the fairness between callers.
 */

/** One rank of requests. Ranks are listed most urgent first. */
export type RankPolicy = {
	readonly name: string;
	/** Share of the slot time, 0 to 1, guaranteed to the rank while other ranks flood. */
	readonly floorShare: number;
};

/** Queue length of a gate and fairness between callers. */
export type AdmissionPolicy = {
	/** Requests that may wait for each announced slot. */
	readonly queuePerSlot: number;
	/**
	 * Whether callers within a rank are served in turn; otherwise all requests of the rank go by
	 * earliest deadline, whoever sent them.
	 */
	readonly fairness: boolean;
};

/** The part of a preset that a gate needs. */
export type GatePolicy = {
	/** Most urgent first; at least one. */
	readonly ranks: readonly RankPolicy[];
	readonly admission: AdmissionPolicy;
};

/**
 * Finds a rank by name. An unknown rank counts as the least urgent.
 *
 * @param ranks the ranks of the active preset, most urgent first
 * @param name the rank that the request names
 * @returns the position of the rank, 0 for the most urgent
 */
export function findRankIndex(
	ranks: readonly RankPolicy[],
	name: string | undefined,
): number {
	const index = ranks.findIndex(rank => rank.name === name);
	return index === -1 ? ranks.length - 1 : index;
}
