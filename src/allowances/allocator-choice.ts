/**
 * Which node allocates the allowance of which team: for each team the alive member that rendezvous
 * hashing ranks first. Each node decides by its own view of the members; a change of one member
 * moves only the teams that it wins or loses.
 *
 * Load pattern: many nodes are cut off or killed at one moment while teams use all that they may. An
 * allocator that has lost touch with some nodes grants only the share of those that it is in touch
 * with, and a new allocator waits until its view of the members has settled.
 */
import {hashText} from '../membership/hash.js';
import {memberStatuses, type MemberStatus} from '../membership/index.js';

/** What the choice knows of a member. */
export type MemberView = {readonly nodeId: string; readonly status: MemberStatus};

type Choice = {
	owner: string;
	/** Monotonic time from which the owner has been this one. */
	since: number;
};

export type AllocatorChoice = {
	readonly selfId: string;
	readonly startedAt: number;
	/** When this node first learned of another, in monotonic milliseconds. */
	joinedAt: number | undefined;
	/** Every known member except those that left as planned, with whether it is alive. */
	readonly members: Map<string, boolean>;
	/** Members that announced that they leave. */
	readonly left: Set<string>;
	aliveCount: number;
	/** Times at which members were last found not to answer. */
	losses: number[];
	readonly teams: Map<string, Choice>;
};

/** How long the view of the members must be steady before a new allocator grants. */
const settleMilliseconds = 500;
/** A started node that hears of no other for this long is taken for the only one. */
const joinMilliseconds = 1500;
/** A view counts as steady while no more than this share of the members was lost. */
const steadyLossShare = 0.01;
const maximumLosses = 1024;

/**
 * Creates the choice of a node that knows only itself and no teams.
 *
 * @param selfId id of this node
 * @param now monotonic milliseconds
 */
export function createAllocatorChoice(selfId: string, now: number): AllocatorChoice {
	return {
		selfId,
		startedAt: now,
		joinedAt: undefined,
		members: new Map([[selfId, true]]),
		left: new Set(),
		aliveCount: 1,
		losses: [],
		teams: new Map(),
	};
}

/**
 * Replaces the teams.
 *
 * @param choice the choice, changed in place
 * @param names the teams that have a cap
 * @param now monotonic milliseconds
 * @param areFirst whether they are the first teams that this node learns of
 */
export function setTeams(
	choice: AllocatorChoice,
	names: readonly string[],
	now: number,
	areFirst: boolean,
): void {
	const kept = new Set(names);
	for (const name of choice.teams.keys()) {
		if (!kept.has(name)) {
			choice.teams.delete(name);
		}
	}

	// What a team used before it had a cap does not count.
	const since = areFirst ? now : Number.NEGATIVE_INFINITY;
	for (const name of kept) {
		if (!choice.teams.has(name)) {
			choice.teams.set(name, {owner: findOwner(choice, name), since});
		}
	}
}

/**
 * Handles a change of a member.
 *
 * @param choice the choice, changed in place
 * @param member the member as it is now
 * @param now monotonic milliseconds
 */
export function updateMember(
	choice: AllocatorChoice,
	member: MemberView,
	now: number,
): void {
	const {nodeId, status} = member;
	if (nodeId === choice.selfId) {
		return;
	}

	const isAlive = status === memberStatuses.alive;
	if (isAlive) {
		choice.left.delete(nodeId);
	} else if (status === memberStatuses.leaving) {
		choice.left.add(nodeId);
	}

	const wasAlive = choice.members.get(nodeId) ?? false;
	if (choice.left.has(nodeId)) {
		choice.members.delete(nodeId);
	} else {
		choice.members.set(nodeId, isAlive);
	}

	if (isAlive === wasAlive) {
		return;
	}

	choice.joinedAt ??= now;

	choice.aliveCount += isAlive ? 1 : -1;
	if (!isAlive && !choice.left.has(nodeId)) {
		choice.losses = [...choice.losses.slice(1 - maximumLosses), now];
	}

	for (const [name, team] of choice.teams) {
		const owner = isAlive
			? pickHigher(name, team.owner, nodeId)
			: team.owner === nodeId
				? findOwner(choice, name)
				: team.owner;
		if (owner !== team.owner) {
			team.owner = owner;
			team.since = now;
		}
	}
}

/**
 * Names the allocator of a team.
 *
 * @param choice the choice
 * @param team name of the team
 * @param isIsolated whether this node hears nothing of the others
 * @returns id of a node; undefined if the team has no cap
 */
export function findAllocator(
	choice: AllocatorChoice,
	team: string,
	isIsolated: boolean,
): string | undefined {
	const owner = choice.teams.get(team)?.owner;
	return owner !== undefined && isIsolated ? choice.selfId : owner;
}

/**
 * Tells from when on this node has been the allocator of a team that it allocates.
 *
 * @param choice the choice
 * @param team name of the team
 * @returns monotonic milliseconds; minus infinity if nothing was used before
 */
export function allocatorSince(choice: AllocatorChoice, team: string): number {
	return choice.teams.get(team)?.since ?? Number.NEGATIVE_INFINITY;
}

/**
 * Lets this node start again as allocator of all of its teams: others may have granted meanwhile.
 *
 * @param choice the choice, changed in place
 * @param now monotonic milliseconds
 */
export function restartAllocations(choice: AllocatorChoice, now: number): void {
	for (const team of choice.teams.values()) {
		if (team.owner === choice.selfId) {
			team.since = now;
		}
	}
}

/**
 * Computes from when on a new allocator may grant at the earliest.
 *
 * @param choice the choice
 * @param since when it became the allocator, in monotonic milliseconds
 * @returns monotonic milliseconds
 */
export function earliestGrantAt(choice: AllocatorChoice, since: number): number {
	const {joinedAt, startedAt} = choice;
	const knowsOthersAt =
		joinedAt === undefined ? startedAt + joinMilliseconds : joinedAt + settleMilliseconds;
	return Math.max(since + settleMilliseconds, knowsOthersAt);
}

/**
 * Tells whether the view of the members has settled, so that a new allocator may grant.
 *
 * @param choice the choice
 * @param now monotonic milliseconds
 */
export function isSettled(choice: AllocatorChoice, now: number): boolean {
	const recent = choice.losses.filter(at => now - at < settleMilliseconds).length;
	return recent <= choice.members.size * steadyLossShare;
}

/**
 * Computes the share of a limit that an allocator in this part of the mesh may grant. The shares of
 * parts that are not in touch add up to one.
 *
 * @param choice the choice
 * @param isIsolated whether this node hears nothing of the others
 * @returns alive members divided by known members
 */
export function computeShare(choice: AllocatorChoice, isIsolated: boolean): number {
	return (isIsolated ? 1 : choice.aliveCount) / choice.members.size;
}

function findOwner(choice: AllocatorChoice, team: string): string {
	let owner = choice.selfId;
	for (const [nodeId, isAlive] of choice.members) {
		if (isAlive) {
			owner = pickHigher(team, owner, nodeId);
		}
	}

	return owner;
}

function pickHigher(team: string, left: string, right: string): string {
	const difference = score(team, left) - score(team, right);
	if (difference === 0) {
		return left.localeCompare(right) < 0 ? left : right;
	}

	return difference > 0 ? left : right;
}

function score(team: string, nodeId: string): number {
	return hashText(`${nodeId} ${team}`);
}
