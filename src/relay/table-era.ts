/**
 * The era of the table as the nodes know it together. Only a few nodes poll the table; they tell the
 * others of a new era through gossip, since rows that any node wrote shortly before may be gone.
 */
import type {Membership} from '../membership/index.js';

/** Gossip topic for the era of the table; nothing is published before the first restore. */
export const tableEraTopic = 'table-era';

export type TableEra = {
	/** The highest known era; zero before the table has answered. */
	readonly current: () => number;
	/** Records the era in which the table answered. */
	readonly record: (era: number) => void;
	/** Shares the era with the other nodes from now on. */
	readonly attach: (membership: TableEraMembership) => void;
};

export type TableEraMembership = Pick<
	Membership,
	'publishVersion' | 'onVersion' | 'versionOf' | 'checkSeedRow'
>;

/** @returns an era that is not known yet */
export function createTableEra(): TableEra {
	let current: number | undefined;
	let membership: TableEraMembership | undefined;

	function raise(era: number): void {
		if (current !== undefined && era <= current) {
			return;
		}

		const isRestored = current !== undefined;
		current = era;
		if (isRestored) {
			membership?.publishVersion(tableEraTopic, era);
			membership?.checkSeedRow();
		}
	}

	return {
		current: () => current ?? 0,
		record: raise,
		attach(joined) {
			membership = joined;
			joined.onVersion((topic, version) => {
				if (topic === tableEraTopic) {
					raise(version);
				}
			});
			const announced = joined.versionOf(tableEraTopic);
			if (announced !== undefined) {
				raise(announced);
			}
		},
	};
}
