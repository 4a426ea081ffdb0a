/**
 * Reports which nodes have applied which version of a team's configuration. Queries all members
 * that are not dead, with bounded concurrency and total time; members that did not respond are
 * listed.
 */
import {performance} from 'node:perf_hooks';
import type {Head} from '../configuration/index.js';
import {memberStatuses, type Member} from '../membership/index.js';
import type {AdministrationOptions} from './administration.js';

const maximumConcurrentQueries = 32;
const queryBudgetMilliseconds = 10_000;
/** Maximum number of nodes in each list of the report. */
const maximumListedNodes = 100;

/** The newest known version, and the version of each node. */
export type FleetStatus = {
	readonly team: string;
	/** Version in the table; absent if the table did not respond. */
	readonly storedVersion?: number;
	/** Highest version in the table or applied by any node. */
	readonly newestVersion: number;
	/** Number of nodes by applied version; version 0 stands for none. */
	readonly nodesByVersion: Readonly<Record<string, number>>;
	/** Nodes that responded and have applied an older version. */
	readonly behind: readonly NodeVersion[];
	/** Nodes that are not known to be dead and did not respond. */
	readonly unanswered: readonly NodeVersion[];
	readonly unansweredCount: number;
	/** Whether every node not known to be dead has applied the newest version. */
	readonly isEverywhere: boolean;
};

type NodeVersion = {
	readonly nodeId: string;
	readonly region: string;
	readonly failureDomain: string;
	readonly version?: number;
};

/**
 * Queries the versions of all nodes.
 *
 * @param options the parts of the node
 * @param team team of the configuration
 */
export async function readFleetStatus(
	options: AdministrationOptions,
	team: string,
): Promise<FleetStatus> {
	const [stored, nodes] = await Promise.all([
		options.configuration.readStored(team),
		queryMembers(options, team),
	]);
	const storedVersion = stored.isOk() ? (stored.value?.version ?? 0) : undefined;
	const versions = nodes.flatMap(({version}) => (version === undefined ? [] : [version]));
	const newestVersion = Math.max(0, storedVersion ?? 0, ...versions);
	const unanswered = nodes.filter(node => node.version === undefined);
	const behind = nodes.filter(
		({version}) => version !== undefined && version < newestVersion,
	);
	return {
		team,
		storedVersion,
		newestVersion,
		nodesByVersion: countVersions(versions),
		behind: behind.slice(0, maximumListedNodes),
		unanswered: unanswered.slice(0, maximumListedNodes),
		unansweredCount: unanswered.length,
		isEverywhere: behind.length === 0 && unanswered.length === 0,
	};
}

async function queryMembers(
	options: AdministrationOptions,
	team: string,
): Promise<NodeVersion[]> {
	const members = options
		.members()
		.filter(member => member.status !== memberStatuses.dead);
	const remaining = [...members];
	const endsAt = performance.now() + queryBudgetMilliseconds;
	const results: NodeVersion[] = [];
	const runQueries = async (): Promise<void> => {
		for (let next = remaining.pop(); next !== undefined; next = remaining.pop()) {
			const isLate = performance.now() > endsAt;
			// Each loop queries one member at a time, which bounds the concurrency.
			// eslint-disable-next-line no-await-in-loop
			const heads = isLate ? undefined : await options.configuration.fetchHeads(next);
			results.push(createNodeVersion(next, team, heads));
		}
	};

	await Promise.all(Array.from({length: maximumConcurrentQueries}, runQueries));
	return results.toSorted((left, right) => (left.nodeId < right.nodeId ? -1 : 1));
}

function createNodeVersion(
	member: Member,
	team: string,
	heads: readonly Head[] | undefined,
): NodeVersion {
	const {nodeId, region, failureDomain} = member;
	const version =
		heads === undefined
			? undefined
			: (heads.find(head => head.team === team)?.version ?? 0);
	return {nodeId, region, failureDomain, version};
}

function countVersions(versions: readonly number[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const version of versions) {
		counts[version] = (counts[version] ?? 0) + 1;
	}

	return counts;
}
