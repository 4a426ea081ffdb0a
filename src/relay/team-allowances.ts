/**
 * Spends the allowances of teams: takes tokens that this node has, asks the team's allocator for
 * more, and answers the nodes whose teams this node allocates. Teams without a cap cost no message.
 */
import {
	addTokens,
	chooseReturn,
	createNodeAllowance,
	createQuestion,
	createTeamAllocators,
	elapsedBetween,
	markReported,
	markReturned,
	noteSilence,
	returnToken,
	tryPassUnbacked,
	trySpendToken,
	type MemberView,
	type Moment,
	type NodeAllowance,
} from '../allowances/index.js';
import {createRefusal, refusalKinds, type Refusal} from '../call/index.js';
import type {AllowanceGrant, AllowanceRequest} from '../generated/gate.js';
import type {Logger} from '../log/index.js';
import type {Team} from '../routes/index.js';

/** How requests of teams with a cap were decided, for the metrics. */
export const allowanceDecisions = {
	granted: 'granted',
	/** Beyond the cap. */
	refused: 'refused',
	/** Passed without a token while the allocator was silent. */
	unbacked: 'unbacked',
	/** Refused since the allocator was silent. */
	unanswered: 'unanswered',
} as const;

export type AllowanceDecision =
	(typeof allowanceDecisions)[keyof typeof allowanceDecisions];

export type TeamAllowancesOptions = {
	readonly nodeId: string;
	/** The window for which caps hold. */
	readonly windowMilliseconds: number;
	readonly log: Logger;
	/** A number from 0 to below 1. */
	readonly random: () => number;
	readonly now: () => Moment;
	/** Asks a node for tokens; undefined if it does not answer in time. */
	readonly ask: (
		nodeId: string,
		request: AllowanceRequest,
	) => Promise<AllowanceGrant | undefined>;
	/** Incarnation of a node, this one included; undefined if it is not known. */
	readonly incarnationOf: (nodeId: string) => number | undefined;
	/** Whether this node hears nothing of the others. */
	readonly isIsolated: () => boolean;
	readonly onDecision: (decision: AllowanceDecision) => void;
};

export type TeamAllowances = {
	/** Resolves to a refusal when the team has used what it may use. */
	readonly spend: (team: Team) => Promise<Refusal | undefined>;
	/** Takes back what a request spent that arrived at this monotonic time and provably did not run. */
	readonly giveBack: (team: string, arrivedAt: number) => void;
	/** Answers another node. */
	readonly grant: (request: AllowanceRequest) => AllowanceGrant;
	readonly updateTeams: (teams: readonly Team[]) => void;
	readonly updateMember: (member: MemberView) => void;
	/** Detects that the process was suspended; called every `allowanceTickMilliseconds`. */
	readonly tick: () => void;
	readonly dump: () => unknown;
};

type Decision = {readonly refusal: Refusal | undefined};

type TeamState = {
	team: Team;
	readonly allowance: NodeAllowance;
	/** Requests that wait for the allocator's answer. */
	waiting: Array<(decision: Decision) => void>;
	isAsking: boolean;
	/** Monotonic time before which a silent allocator is not asked again. */
	nextAskAt: number;
	/** Monotonic time before which the allocator has no room. */
	fullUntil: number;
	lastGrant: Pick<AllowanceGrant, 'roomMilliseconds' | 'spreadMilliseconds'>;
	/** Which life of which allocator was asked last. */
	source: string;
	/** Monotonic time of the last request beyond the cap. */
	limitedAt: number | undefined;
};

/** Interval of `tick`. */
export const allowanceTickMilliseconds = 250;
/** A node that did not run for this long may have been replaced as allocator. */
const suspensionMilliseconds = 1000;
const maximumAttempts = 3;
const silentAskIntervalMilliseconds = 100;
/** Longest time for which a node refuses without asking; others may return what they got. */
const maximumFullMilliseconds = 100;
const minimumRetryMilliseconds = 20;
const silentRetryMilliseconds = 300;

/**
 * Creates the allowances of a node that knows no other node yet.
 *
 * @param options clocks, log, and how to reach other nodes
 * @returns the allowances
 */
export function createTeamAllowances(options: TeamAllowancesOptions): TeamAllowances {
	const {nodeId, windowMilliseconds, log, now, random, onDecision} = options;
	const states = new Map<string, TeamState>();
	const allocators = createTeamAllocators({
		selfId: nodeId,
		windowMilliseconds,
		startedAt: now().monotonic,
		isIsolated: options.isIsolated,
	});
	let lastTick: Moment | undefined;
	let resumedAt = Number.NEGATIVE_INFINITY;

	function stateOf(team: Team): TeamState {
		const state = states.get(team.name) ?? createTeamState(team, windowMilliseconds);
		state.team = team;
		states.set(team.name, state);
		return state;
	}

	function accept(state: TeamState, decision: AllowanceDecision): Decision {
		onDecision(decision);
		const {limitedAt, team} = state;
		if (limitedAt !== undefined && now().monotonic - limitedAt > windowMilliseconds) {
			state.limitedAt = undefined;
			log.info('team within its cap again', {team: team.name});
		}

		return {refusal: undefined};
	}

	function refuseBeyondCap(state: TeamState): Decision {
		const {team} = state;
		if (state.limitedAt === undefined) {
			log.warn('team beyond its cap', {
				team: team.name,
				requestsPerSecond: team.requestsPerSecond,
				burst: team.burst,
				allocator: allocators.find(team.name),
				share: allocators.share(),
			});
		}

		state.limitedAt = now().monotonic;
		onDecision(allowanceDecisions.refused);
		const pause = chooseReturn(state.lastGrant, random());
		const refusal = createRefusal(
			refusalKinds.teamLimit,
			`team ${team.name} has used its allowance: try again after the stated pause`,
			Math.max(minimumRetryMilliseconds, pause),
		);
		return {refusal};
	}

	/** Decides while the allocator is silent. */
	function decideUnbacked(state: TeamState): Decision {
		if (tryPassUnbacked(state.allowance, state.team, now())) {
			return accept(state, allowanceDecisions.unbacked);
		}

		onDecision(allowanceDecisions.unanswered);
		const refusal = createRefusal(
			refusalKinds.notReady,
			"the team's allowance cannot be checked at the moment: try again shortly",
			silentRetryMilliseconds * (1 + random()),
		);
		return {refusal};
	}

	/** Decides for a team that this node allocates. */
	function decideOwn(state: TeamState): Decision {
		const moment = now();
		forgetReturnsToOthers(state, nodeId);
		const question = {...createQuestion(state.allowance, 1, moment), extra: 0};
		const grant = allocators.allocate(state.team.name, question, moment.monotonic);
		if (grant === undefined) {
			noteSilence(state.allowance, moment, random());
			return decideUnbacked(state);
		}

		markReturned(state.allowance);
		markReported(state.allowance);
		addTokens(state.allowance, grant.granted, moment);
		state.lastGrant = grant;
		return trySpendToken(state.allowance, moment)
			? accept(state, allowanceDecisions.granted)
			: refuseBeyondCap(state);
	}

	async function askUntilSettled(state: TeamState, attempts: number): Promise<void> {
		state.isAsking = true;
		let failures = 0;
		while (failures < attempts) {
			failures = (await askOnce(state)) ? 0 : failures + 1;
			if (failures === 0 && state.waiting.length === 0) {
				break;
			}
		}

		state.isAsking = false;
		if (failures > 0) {
			noteSilence(state.allowance, now(), random());
			state.nextAskAt = now().monotonic + silentAskIntervalMilliseconds;
			settleWaiting(state, decideUnbacked);
		}
	}

	/** Asks the allocator once; returns whether it served or refused what waits. */
	async function askOnce(state: TeamState): Promise<boolean> {
		const {allowance, team} = state;
		const allocator = allocators.find(team.name);
		if (allocator === nodeId) {
			settleWaiting(state, decideOwn);
			return true;
		}

		if (allocator === undefined) {
			return false;
		}

		const askedAt = now();
		const incarnation = options.incarnationOf(allocator) ?? 0;
		forgetReturnsToOthers(state, `${allocator}/${incarnation}`);
		const wanted = Math.max(1, state.waiting.length);
		const question = createQuestion(allowance, wanted, askedAt);
		markReturned(allowance);
		const request = {...question, team: team.name, incarnation};
		const grant = await options.ask(allocator, request);
		if (!grant?.allocates) {
			return false;
		}

		markReported(allowance);
		addTokens(allowance, grant.granted, askedAt);
		const isServed = serveWaiting(state) > 0 || state.waiting.length === 0;
		if (grant.granted >= wanted) {
			return isServed;
		}

		state.lastGrant = grant;
		const pause = Math.min(maximumFullMilliseconds, grant.roomMilliseconds);
		state.fullUntil = now().monotonic + pause;
		settleWaiting(state, refuseBeyondCap);
		return true;
	}

	function serveWaiting(state: TeamState): number {
		const moment = now();
		let served = 0;
		while (state.waiting.length > 0 && trySpendToken(state.allowance, moment)) {
			const settle = state.waiting.shift()!;
			settle(accept(state, allowanceDecisions.granted));
			served += 1;
		}

		return served;
	}

	function settleWaiting(state: TeamState, decide: (state: TeamState) => Decision): void {
		const {waiting} = state;
		state.waiting = [];
		for (const settle of waiting) {
			settle(decide(state));
		}
	}

	/** Decides what needs no question to another node. */
	function decideAtOnce(state: TeamState): Decision | undefined {
		const {allowance, team} = state;
		const moment = now();
		if (trySpendToken(allowance, moment)) {
			return accept(state, allowanceDecisions.granted);
		}

		if (allocators.find(team.name) === nodeId) {
			return decideOwn(state);
		}

		if (moment.monotonic < state.fullUntil) {
			return refuseBeyondCap(state);
		}

		if (allowance.silence === undefined) {
			return undefined;
		}

		if (!state.isAsking && moment.monotonic >= state.nextAskAt) {
			void askUntilSettled(state, 1);
		}

		return decideUnbacked(state);
	}

	return {
		async spend(team) {
			if (!Number.isFinite(team.requestsPerSecond)) {
				return undefined;
			}

			const state = stateOf(team);
			const decision =
				decideAtOnce(state) ??
				(await new Promise<Decision>(resolve => {
					state.waiting.push(resolve);
					if (!state.isAsking) {
						void askUntilSettled(state, maximumAttempts);
					}
				}));
			return decision.refusal;
		},
		giveBack(name, arrivedAt) {
			const state = states.get(name);
			if (state && arrivedAt > resumedAt) {
				const moment = now();
				const wallClock = moment.wallClock - (moment.monotonic - arrivedAt);
				returnToken(state.allowance, {monotonic: arrivedAt, wallClock}, moment);
			}
		},
		grant({team, wanted, extra, returned, unbacked, incarnation}) {
			const isOwnLife = incarnation === options.incarnationOf(nodeId);
			const question = {wanted, extra, returned: isOwnLife ? returned : 0, unbacked};
			const grant = allocators.allocate(team, question, now().monotonic);
			return {
				allocates: grant !== undefined,
				granted: grant?.granted ?? 0,
				roomMilliseconds: Math.ceil(grant?.roomMilliseconds ?? 0),
				spreadMilliseconds: Math.ceil(grant?.spreadMilliseconds ?? 0),
				allocator: allocators.find(team) ?? '',
			};
		},
		updateTeams(teams) {
			const capped = teams.filter(team => Number.isFinite(team.requestsPerSecond));
			allocators.setTeams(capped, now().monotonic);
			const names = new Set(capped.map(({name}) => name));
			for (const [name, {waiting}] of states) {
				if (!names.has(name) && waiting.length === 0) {
					states.delete(name);
				}
			}
		},
		updateMember(member) {
			allocators.updateMember(member, now().monotonic);
		},
		tick() {
			const moment = now();
			if (lastTick && elapsedBetween(lastTick, moment) > suspensionMilliseconds) {
				resumedAt = moment.monotonic;
				allocators.restart(moment.monotonic);
			}

			lastTick = moment;
			allocators.checkIsolation(moment.monotonic);
		},
		dump: () => ({
			...allocators.describe(),
			share: allocators.share(),
			teams: [...states.values()].map(({team, allowance}) => ({
				name: team.name,
				requestsPerSecond: team.requestsPerSecond,
				burst: team.burst,
				allocator: allocators.find(team.name),
				tokens: allowance.tokens.reduce((sum, {count}) => sum + count, 0),
				spent: allowance.backed.total,
				isSilent: allowance.silence !== undefined,
			})),
		}),
	};
}

/** Tokens of one allocator mean nothing to another one, or to its next life. */
function forgetReturnsToOthers(state: TeamState, source: string): void {
	if (state.source !== source) {
		state.source = source;
		markReturned(state.allowance);
	}
}

function createTeamState(team: Team, windowMilliseconds: number): TeamState {
	return {
		team,
		allowance: createNodeAllowance(windowMilliseconds),
		waiting: [],
		isAsking: false,
		nextAskAt: Number.NEGATIVE_INFINITY,
		fullUntil: Number.NEGATIVE_INFINITY,
		lastGrant: {roomMilliseconds: 0, spreadMilliseconds: 0},
		source: '',
		limitedAt: undefined,
	};
}
