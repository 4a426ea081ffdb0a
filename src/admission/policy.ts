/**
 * What a preset says about admission: the ranks of work, what each keeps during a flood, how
 * much may wait and how callers within a rank share.
 */

/** One rank of work. Ranks are listed most urgent first. */
export type RankPolicy = {
	readonly name: string;
	/** Share of the slots' time, 0 to 1, that the rank keeps while other ranks flood. */
	readonly floorShare: number;
};

/** How much may wait at a gate and how callers share. */
export type AdmissionPolicy = {
	/** Requests that may wait for each announced slot. */
	readonly queuePerSlot: number;
	/**
	 * Whether callers within a rank take turns; otherwise all requests of the rank go by earliest
	 * deadline, whoever sent them.
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
 * Finds a rank by name. Work of an unknown rank counts as the least urgent.
 *
 * @param ranks the ranks of the preset in force, most urgent first
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
