/**
 * Connects the allowances of teams to the membership, the clocks and the datagrams of a node. The timer
 * that detects suspensions runs only while some team has a cap.
 */
import {computeTokenLifetime} from '../allowances/index.js';
import type {Logger} from '../log/index.js';
import {isIsolated, type Membership} from '../membership/index.js';
import {createAllowanceClient} from './allowance-client.js';
import type {GateSocket} from './gate-socket.js';
import {
	allowanceTickMilliseconds,
	createTeamAllowances,
	type TeamAllowances,
	type TeamAllowancesOptions,
} from './team-allowances.js';

export type NodeAllowancesOptions = {
	readonly nodeId: string;
	readonly incarnation: number;
	/** Window for which the caps of teams hold; undefined for the default. */
	readonly windowMilliseconds: number | undefined;
	readonly membership: () => Membership | undefined;
	readonly socket: () => GateSocket | undefined;
	readonly log: Logger;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	readonly onDecision: TeamAllowancesOptions['onDecision'];
};

export type NodeAllowances = TeamAllowances & {readonly close: () => void};

const defaultWindowMilliseconds = 5000;

/**
 * Creates the allowances of a node.
 *
 * @param options the node, its membership, its socket and the clock
 * @returns the allowances
 */
export function createNodeAllowances(options: NodeAllowancesOptions): NodeAllowances {
	const {nodeId, incarnation, membership, socket, log, now, onDecision} = options;
	const windowMilliseconds = options.windowMilliseconds ?? defaultWindowMilliseconds;
	const allowances = createTeamAllowances({
		nodeId,
		windowMilliseconds,
		log,
		random: Math.random,
		now: () => ({monotonic: now(), wallClock: Date.now()}),
		ask: createAllowanceClient({
			socket,
			findMember: id => membership()?.find(id),
			maximumTimeoutMilliseconds: computeTokenLifetime(windowMilliseconds) / 2,
			now,
		}),
		incarnationOf: id =>
			id === nodeId ? incarnation : membership()?.find(id)?.incarnation,
		isIsolated() {
			const joined = membership();
			return joined !== undefined && isIsolated(joined.lastPacketAt(), now());
		},
		onDecision,
	});
	let timer: NodeJS.Timeout | undefined;
	return {
		...allowances,
		updateTeams(teams) {
			allowances.updateTeams(teams);
			const hasCap = teams.some(({requestsPerSecond}) =>
				Number.isFinite(requestsPerSecond),
			);
			if (hasCap && timer === undefined) {
				allowances.tick();
				timer = setInterval(allowances.tick, allowanceTickMilliseconds);
			}
		},
		close() {
			clearInterval(timer);
		},
	};
}
