/** A node's part of the link between two regions, which all nodes of a region share. */
import {memberStatuses, type Member} from '../membership/index.js';
import type {RelaySettings} from './settings.js';

/**
 * Divides the link among the alive nodes of the region.
 *
 * @param settings the node's settings
 * @param members the members that the node knows
 * @returns megabits per second; undefined if the settings name no limit
 */
export function findLinkPart(
	{costs, node}: Pick<RelaySettings, 'costs' | 'node'>,
	members: readonly Member[],
): number | undefined {
	if (costs.linkMegabitsBetweenRegions === undefined) {
		return undefined;
	}

	const nodes = members.filter(
		({region, status}) => region === node.region && status === memberStatuses.alive,
	);
	return costs.linkMegabitsBetweenRegions / Math.max(1, nodes.length);
}
