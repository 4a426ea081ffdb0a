/**
 * Follows evacuations of failure domains through the table and through gossip. Nothing is gossiped of
 * a domain that was never evacuated.
 */
import {
	applyGossip,
	applyReading,
	createEvacuationState,
	isDomainEvacuated,
	listEvacuatedDomains,
	type EvacuationChange,
	type EvacuationReading,
} from '../evacuation/index.js';
import type {Logger} from '../log/index.js';
import type {Membership} from '../membership/index.js';

/** Prefix of the gossip topics, followed by the name of a failure domain. */
export const evacuationTopicPrefix = 'evacuation:';

export type EvacuationMembership = Pick<
	Membership,
	'publishVersion' | 'onVersion' | 'versionOf' | 'all' | 'self'
>;

export type EvacuationTracker = {
	readonly isEvacuated: (domain: string) => boolean;
	/** Lists the evacuated domains. */
	readonly list: () => readonly string[];
	/** Records what the table holds. */
	readonly record: (reading: EvacuationReading) => void;
	/** Shares evacuations with the other nodes from now on. */
	readonly attach: (membership: EvacuationMembership) => void;
};

export type EvacuationTrackerOptions = {
	readonly log: Logger;
	/** Called when the evacuation of a domain has begun or ended. */
	readonly onChange: (domain: string) => void;
};

/**
 * Creates a tracker that knows of no evacuation.
 *
 * @param options the log, and what to call on changes
 * @returns the tracker
 */
export function createEvacuationTracker(
	options: EvacuationTrackerOptions,
): EvacuationTracker {
	const state = createEvacuationState();
	let membership: EvacuationMembership | undefined;

	function handleChange(change: EvacuationChange, source: string): void {
		const {domain, order, isEvacuated, isSwitched} = change;
		membership?.publishVersion(`${evacuationTopicPrefix}${domain}`, order);
		if (isSwitched) {
			const message = isEvacuated ? 'evacuation began' : 'evacuation ended';
			options.log.info(message, {failureDomain: domain, source});
			options.onChange(domain);
		}
	}

	function handleGossip(domain: string, order: number | undefined, source: string): void {
		const change = order === undefined ? undefined : applyGossip(state, domain, order);
		if (change) {
			handleChange(change, source);
		}
	}

	return {
		isEvacuated: domain => isDomainEvacuated(state, domain),
		list: () => listEvacuatedDomains(state),
		record(reading) {
			for (const change of applyReading(state, reading)) {
				handleChange(change, 'table');
			}
		},
		attach(joined) {
			membership = joined;
			for (const [domain, order] of state.orders) {
				joined.publishVersion(`${evacuationTopicPrefix}${domain}`, order);
			}

			joined.onVersion((topic, version, from) => {
				if (topic.startsWith(evacuationTopicPrefix)) {
					handleGossip(topic.slice(evacuationTopicPrefix.length), version, from);
				}
			});
			// What arrived while this node joined was announced before anyone listened.
			const members = [joined.self(), ...joined.all()];
			for (const domain of new Set(members.map(({failureDomain}) => failureDomain))) {
				const order = joined.versionOf(`${evacuationTopicPrefix}${domain}`);
				handleGossip(domain, order, 'peers');
			}
		},
	};
}
