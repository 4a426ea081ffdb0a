/**
 * The number under which gossip spreads whether a failure domain is evacuated. It orders what was
 * written: by the era of the table, then by the version of the row, so that the newest wins whatever
 * the way on which it arrives. Its last bit says whether the domain is evacuated.
 */

/** What the table said of a failure domain, and where in its history. */
export type EvacuationOrder = {
	readonly era: number;
	/** Version of the row, or of the table in which the row is absent. */
	readonly version: number;
	readonly isEvacuated: boolean;
};

const versionBits = 40;
/** Versions stay below this. */
const versionLimit = 2 ** versionBits;
/** Eras stay below this, so that the number is exact. */
const eraLimit = 2 ** (53 - versionBits - 1);

/**
 * @param order what the table said
 * @returns the number; undefined if era or version is out of bounds
 */
export function encodeEvacuationOrder({
	era,
	version,
	isEvacuated,
}: EvacuationOrder): number | undefined {
	if (!isBelow(era, eraLimit) || !isBelow(version, versionLimit)) {
		return undefined;
	}

	return (era * versionLimit + version) * 2 + Number(isEvacuated);
}

/**
 * @param code a number from gossip
 * @returns what it says; undefined if it is out of bounds
 */
export function decodeEvacuationOrder(code: number): EvacuationOrder | undefined {
	if (!isBelow(code, eraLimit * versionLimit * 2)) {
		return undefined;
	}

	const position = Math.floor(code / 2);
	return {
		era: Math.floor(position / versionLimit),
		version: position % versionLimit,
		isEvacuated: code % 2 === 1,
	};
}

function isBelow(value: number, limit: number): boolean {
	return Number.isInteger(value) && value >= 0 && value < limit;
}
