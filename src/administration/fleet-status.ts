/**
 * Who has which version of a team's configuration in force. Asks the living members, a few at a
 * time and within a bound; what did not answer is listed as such.
 */
import {performance} from 'node:perf_hooks';
import type {Head} from '../configuration/index.js';
import {memberStatuses, type Member} from '../membership/index.js';
import type {AdministrationOptions} from './administration.js';

const membersAskedAtOnce = 32;
const longestMilliseconds = 10_000;
/** Members listed by name; the rest are counted. */
const maximumListed = 100;

/** The newest version known and who has it. */
export type FleetStatus = {
	readonly team: string;
	/** Version in the table; absent when the table did not answer. */
	readonly storedVersion?: number;
	/** Highest version that any node has in force. */
	readonly newestVersion: number;
	/** Nodes by the version that they have in force; 0 for none. */
	readonly nodesByVersion: Readonly<Record<string, number>>;
	/** Nodes that answered and have an older version in force. */
	readonly behind: readonly NodeVersion[];
	/** Nodes that live as far as is known, and did not answer. */
	readonly unanswered: readonly NodeVersion[];
	readonly unansweredCount: number;
	/** Whether every node that is known to live has the newest version in force. */
	readonly isEverywhere: boolean;
};

type NodeVersion = {
	readonly nodeId: string;
	readonly region: string;
	readonly failureDomain: string;
	readonly version?: number;
};

/**
 * Asks the fleet.
 *
 * @param options the node's parts
 * @param team the team whose versions are asked for
 */
export async function readFleetStatus(
	options: AdministrationOptions,
	team: string,
): Promise<FleetStatus> {
	const [stored, nodes] = await Promise.all([
		options.configuration.readStored(team),
		askMembers(options, team),
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
		behind: behind.slice(0, maximumListed),
		unanswered: unanswered.slice(0, maximumListed),
		unansweredCount: unanswered.length,
		isEverywhere: behind.length === 0 && unanswered.length === 0,
	};
}

async function askMembers(
	options: AdministrationOptions,
	team: string,
): Promise<NodeVersion[]> {
	const living = options
		.members()
		.filter(member => member.status !== memberStatuses.dead);
	const waiting = [...living];
	const endsAt = performance.now() + longestMilliseconds;
	const answers: NodeVersion[] = [];
	const askInTurn = async (): Promise<void> => {
		for (let next = waiting.pop(); next !== undefined; next = waiting.pop()) {
			const isLate = performance.now() > endsAt;
			// Each of these loops asks one member at a time, so that few are asked at once.
			// eslint-disable-next-line no-await-in-loop
			const heads = isLate ? undefined : await options.configuration.fetchHeads(next);
			answers.push(describeNode(next, team, heads));
		}
	};

	await Promise.all(Array.from({length: membersAskedAtOnce}, askInTurn));
	return answers.toSorted((left, right) => (left.nodeId < right.nodeId ? -1 : 1));
}

function describeNode(
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
