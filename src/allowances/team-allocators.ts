/**
 * The allocators of the teams whose allowances this node grants, and who grants those of the others.
 * An allocator is created when it is first asked, and dropped when its team moves to another node.
 */
import {
	allocatorSince,
	computeShare,
	earliestGrantAt,
	createAllocatorChoice,
	findAllocator,
	isSettled,
	restartAllocations,
	setTeams,
	updateMember,
	type MemberView,
} from './allocator-choice.js';
import {
	assumeGranted,
	createAllocator,
	decideGrant,
	type Allocator,
	type AllowanceGrant,
	type AllowanceQuestion,
} from './allocator.js';
import {
	computeGrantLimit,
	computeGrantSpan,
	computeGrantTerms,
	type Cap,
} from './limits.js';

/** A team with a cap. */
export type CappedTeam = Cap & {readonly name: string};

export type TeamAllocatorsOptions = {
	readonly selfId: string;
	readonly windowMilliseconds: number;
	/** Start of the node, in monotonic milliseconds. */
	readonly startedAt: number;
	/** Whether this node hears nothing of the others. */
	readonly isIsolated: () => boolean;
};

export type TeamAllocators = {
	readonly setTeams: (teams: readonly CappedTeam[], now: number) => void;
	readonly updateMember: (member: MemberView, now: number) => void;
	/** Grants tokens; undefined if this node does not allocate the team's allowance, or not yet. */
	readonly allocate: (
		team: string,
		question: AllowanceQuestion,
		now: number,
	) => AllowanceGrant | undefined;
	/** Names the allocator of a team; undefined if the team has no cap. */
	readonly find: (team: string) => string | undefined;
	/** Starts all allocators again, since others may have granted meanwhile. */
	readonly restart: (now: number) => void;
	/** Detects that this node hears of the others again. */
	readonly checkIsolation: (now: number) => void;
	/** Share of the limits that this part of the mesh may grant. */
	readonly share: () => number;
	readonly describe: () => {
		readonly alive: number;
		readonly known: number;
		readonly granted: Readonly<Record<string, number>>;
	};
};

type OpenAllocator = {
	readonly allocator: Allocator;
	/** When this node became the allocator, in monotonic milliseconds. */
	readonly since: number;
	/** Share of the limit at the last grant. */
	share: number;
};

/**
 * Creates the allocators of a node that knows only itself and no teams.
 *
 * @param options the node, the window of the caps, and whether the node is isolated
 * @returns the allocators
 */
export function createTeamAllocators(options: TeamAllocatorsOptions): TeamAllocators {
	const {selfId, windowMilliseconds} = options;
	const choice = createAllocatorChoice(selfId, options.startedAt);
	const allocators = new Map<string, OpenAllocator>();
	/** When this node became the allocator of teams that it was asked for before it may grant. */
	const pending = new Map<string, number>();
	let teams: ReadonlyMap<string, CappedTeam> | undefined;
	let wasIsolated = false;
	// A node that knows no other is not cut off from any.
	const isIsolated = () => choice.members.size > 1 && options.isIsolated();
	const find = (team: string) => findAllocator(choice, team, isIsolated());
	const share = () => computeShare(choice, isIsolated());

	/** A new allocator waits for a settled view, and counts all until then as granted by others. */
	function open(team: CappedTeam, now: number): OpenAllocator | undefined {
		const since = pending.get(team.name) ?? (isIsolated() ? now : undefined);
		const becameAt = since ?? allocatorSince(choice, team.name);
		const earliest = earliestGrantAt(choice, becameAt);
		const latest = earliest + windowMilliseconds;
		if (now < earliest || (now < latest && !isSettled(choice, now))) {
			pending.set(team.name, becameAt);
			return undefined;
		}

		const wasAsked = pending.delete(team.name);
		const limit = computeGrantLimit(team, windowMilliseconds);
		const span = computeGrantSpan(windowMilliseconds);
		const allocator = createAllocator(span, limit, wasAsked ? now : earliest);
		const opened = {allocator, since: becameAt, share: share()};
		allocators.set(team.name, opened);
		return opened;
	}

	function dropMoved<Value>(
		held: Map<string, Value>,
		sinceOf: (value: Value) => number,
	): void {
		for (const [name, value] of held) {
			if (find(name) !== selfId || sinceOf(value) < allocatorSince(choice, name)) {
				held.delete(name);
			}
		}
	}

	function restart(now: number): void {
		allocators.clear();
		pending.clear();
		restartAllocations(choice, now);
	}

	return {
		setTeams(list, now) {
			const isFirst = teams === undefined;
			teams = new Map(list.map(team => [team.name, team]));
			setTeams(choice, [...teams.keys()], now, isFirst);
			dropMoved(allocators, ({since}) => since);
			dropMoved(pending, since => since);
		},
		updateMember(member, now) {
			updateMember(choice, member, now);
			dropMoved(allocators, ({since}) => since);
			dropMoved(pending, since => since);
		},
		allocate(name, question, now) {
			const team = teams?.get(name);
			if (team === undefined || find(name) !== selfId) {
				return undefined;
			}

			const held = allocators.get(name) ?? open(team, now);
			if (held === undefined) {
				return undefined;
			}

			const limit = computeGrantLimit(team, windowMilliseconds);
			const regained = share() - held.share;
			held.share = share();
			if (regained > 0) {
				assumeGranted(held.allocator, limit * regained, now);
			}

			const terms = computeGrantTerms(team, windowMilliseconds, held.share);
			return decideGrant(held.allocator, question, terms, now);
		},
		find,
		restart,
		checkIsolation(now) {
			if (wasIsolated && !isIsolated()) {
				restart(now);
			}

			wasIsolated = isIsolated();
		},
		share,
		describe: () => ({
			alive: choice.aliveCount,
			known: choice.members.size,
			granted: Object.fromEntries(
				[...allocators].map(([name, {allocator}]) => [name, allocator.granted.total]),
			),
		}),
	};
}
