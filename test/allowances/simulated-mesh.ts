/**
 * Nodes that divide a team's allowance, in simulated time: datagrams take time and get lost, nodes are
 * killed, started, frozen and cut off, and each learns of the others' fate after a while.
 */
import type {AllowanceGrant, AllowanceRequest} from '../../src/generated/gate.js';
import {createRandom} from '../../src/load/random.js';
import type {Team} from '../../src/routes/index.js';
import {
	allowanceTickMilliseconds,
	createTeamAllowances,
	type TeamAllowances,
} from '../../src/relay/team-allowances.js';

export const windowMilliseconds = 5000;

type SimulatedNode = {
	readonly id: string;
	allowances: TeamAllowances;
	incarnation: number;
	isRunning: boolean;
	frozenUntil: number;
	/** Time for which its monotonic clock stood still. */
	lostMilliseconds: number;
	part: number;
	/** When it was last alone in its part. */
	aloneSince: number | undefined;
};

export type SimulatedMeshOptions = {
	readonly seed: number;
	readonly nodeCount: number;
	readonly lossShare: number;
};

const ignore = (): void => undefined;
const silentLog = {info: ignore, warn: ignore, error: ignore};
const timeoutMilliseconds = 100;
const isolationMilliseconds = 1200;

export function createSimulatedMesh(options: SimulatedMeshOptions) {
	const random = createRandom(options.seed);
	const events = new Map<number, Array<() => void>>();
	const accepted: number[] = [];
	const refused: number[] = [];
	const nodes: SimulatedNode[] = [];
	let teams: readonly Team[] = [];
	let time = 0;

	function at(moment: number, action: () => void): void {
		const slot = Math.max(Math.ceil(moment), time);
		const actions = events.get(slot);
		if (actions) {
			actions.push(action);
		} else {
			events.set(slot, [action]);
		}
	}

	/** Runs an action of a node once it is not frozen, unless its process has ended. */
	function runAt(node: SimulatedNode, moment: number, action: () => void): void {
		const {incarnation} = node;
		at(moment, () => {
			if (node.frozenUntil > time) {
				runAt(node, node.frozenUntil + 1, action);
			} else if (node.isRunning && node.incarnation === incarnation) {
				action();
			}
		});
	}

	function isReachable(from: SimulatedNode, to: SimulatedNode): boolean {
		return from.part === to.part && random() >= options.lossShare;
	}

	const delay = () => 0.5 + random() * 8;

	async function ask(
		from: SimulatedNode,
		targetId: string,
		request: AllowanceRequest,
	): Promise<AllowanceGrant | undefined> {
		return new Promise(resolve => {
			runAt(from, time + timeoutMilliseconds, () => {
				resolve(undefined);
			});
			const target = nodes.find(({id}) => id === targetId)!;
			if (!target.isRunning || !isReachable(from, target)) {
				return;
			}

			runAt(target, time + delay(), () => {
				const grant = target.allowances.grant(request);
				if (isReachable(target, from)) {
					runAt(from, time + delay(), () => {
						resolve(grant);
					});
				}
			});
		});
	}

	function startProcess(node: SimulatedNode): void {
		node.incarnation += 1;
		node.isRunning = true;
		node.allowances = createTeamAllowances({
			nodeId: node.id,
			windowMilliseconds,
			log: silentLog,
			random,
			now: () => ({monotonic: time - node.lostMilliseconds, wallClock: time}),
			ask: async (targetId, request) => ask(node, targetId, request),
			incarnationOf: nodeId => nodes.find(({id}) => id === nodeId)?.incarnation,
			isIsolated: () =>
				node.aloneSince !== undefined && time - node.aloneSince > isolationMilliseconds,
			onDecision: ignore,
		});
		node.allowances.updateTeams(teams);
		const tick = () => {
			node.allowances.tick();
			runAt(node, time + allowanceTickMilliseconds, tick);
		};

		tick();
	}

	/** Lets an observer learn of a node's state after a while, if it is still so. */
	function tell(observer: SimulatedNode, node: SimulatedNode, longest: number): void {
		if (observer === node) {
			return;
		}

		runAt(observer, time + 50 + random() * longest, () => {
			const isAlive =
				node.isRunning && node.frozenUntil <= time && node.part === observer.part;
			observer.allowances.updateMember({
				nodeId: node.id,
				status: isAlive ? 'alive' : 'suspect',
			});
		});
	}

	function tellAll(changed: readonly SimulatedNode[], longest: number): void {
		for (const observer of nodes) {
			for (const node of nodes) {
				if (changed.includes(observer) || changed.includes(node)) {
					tell(observer, node, longest);
				}
			}
		}
	}

	function setPart(chosen: readonly SimulatedNode[], part: number): void {
		for (const node of chosen) {
			node.part = part;
		}

		for (const node of nodes) {
			const isAlone = nodes.every(other => other === node || other.part !== node.part);
			node.aloneSince = isAlone ? (node.aloneSince ?? time) : undefined;
		}
	}

	const mesh = {
		nodes,
		accepted,
		refused,
		at,
		setTeams(list: readonly Team[]) {
			teams = list;
			for (const node of nodes) {
				runAt(node, time + random() * 300, () => {
					node.allowances.updateTeams(list);
				});
			}
		},
		kill(chosen: readonly SimulatedNode[], restartAfter: number) {
			for (const node of chosen) {
				node.isRunning = false;
				at(time + restartAfter, () => {
					startProcess(node);
					tellAll([node], 400);
				});
			}

			tellAll(chosen, 2000);
		},
		freeze(chosen: readonly SimulatedNode[], milliseconds: number) {
			for (const node of chosen) {
				node.frozenUntil = time + milliseconds;
				at(node.frozenUntil, () => {
					node.lostMilliseconds += milliseconds;
					tellAll([node], 400);
				});
			}

			tellAll(chosen, 2000);
		},
		/** Cuts nodes off from the others, but not from each other. */
		cut(chosen: readonly SimulatedNode[], milliseconds: number) {
			setPart(chosen, 1);
			tellAll(chosen, 3000);
			at(time + milliseconds, () => {
				setPart(chosen, 0);
				tellAll(chosen, 800);
			});
		},
		/** Requests of a team at random times, spread over all nodes. */
		send(team: Team, perSecond: number, from: number, to: number) {
			const next = (moment: number): void => {
				if (moment >= to) {
					return;
				}

				at(moment, () => {
					const node = nodes[Math.floor(random() * nodes.length)]!;
					if (node.isRunning && node.frozenUntil <= time) {
						void node.allowances.spend(team).then(refusal => {
							(refusal ? refused : accepted).push(time);
						});
					}

					next(moment - (Math.log(1 - random()) * 1000) / perSecond);
				});
			};

			next(from);
		},
		async run(until: number) {
			for (; time <= until; time += 1) {
				for (let actions = events.get(time); actions; actions = events.get(time)) {
					events.delete(time);
					for (const action of actions) {
						action();
					}

					await new Promise(setImmediate);
				}
			}
		},
	};
	for (let index = 0; index < options.nodeCount; index += 1) {
		nodes.push({
			id: `node-${index}`,
			allowances: undefined!,
			incarnation: 0,
			isRunning: false,
			frozenUntil: 0,
			lostMilliseconds: 0,
			part: 0,
			aloneSince: undefined,
		});
	}

	for (const node of nodes) {
		startProcess(node);
	}

	tellAll(nodes, 400);
	return mesh;
}

/** Counts the requests in the busiest window. */
export function countBusiestWindow(times: readonly number[]): number {
	const sorted = times.toSorted((left, right) => left - right);
	let busiest = 0;
	let first = 0;
	for (const [index, moment] of sorted.entries()) {
		while (moment - sorted[first]! > windowMilliseconds) {
			first += 1;
		}

		busiest = Math.max(busiest, index - first + 1);
	}

	return busiest;
}
