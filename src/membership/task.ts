/**
 * Background task of membership: owns the UDP socket, the timers and the state. All input reaches
 * the state as events through one loop; callers get a read-only API.
 */
import {Effect, Queue, type Scope} from 'effect';
import {decodePacket} from './codec.js';
import {createDump} from './dump.js';
import {nextTickAt} from './due.js';
import {createEventLoop, type EventLoop} from './event-loop.js';
import {createListeners, type Listeners} from './listeners.js';
import {applyEvent} from './state-machine.js';
import {type Member, memberStatuses} from './member.js';
import {
	type Membership,
	type MembershipError,
	type MembershipOptions,
} from './membership.js';
import {type Address} from './message.js';
import {defaultParameters} from './parameters.js';
import {listServiceMembers} from './roster.js';
import {runSeedTask} from './seed-task.js';
import {parseSeedAddress} from './seeds.js';
import {
	createState,
	type MembershipEffect,
	type MembershipEvent,
	type MembershipState,
} from './state.js';
import {createUdpTransport, type Transport} from './transport.js';

type Task = {
	readonly options: MembershipOptions;
	readonly state: MembershipState;
	readonly listeners: Listeners;
	readonly settled: Completion;
	readonly leaveCompleted: Completion;
	/** Requests to check the seed row soon; one is enough. */
	readonly seedRowChecks: Queue.Queue<void>;
};

/** A promise that is resolved from outside, once. */
type Completion = {
	readonly promise: Promise<void>;
	readonly resolve: () => void;
};

/**
 * Starts membership: joins the mesh through the seeds and stays a member until the scope closes.
 *
 * @param options this node, its seeds and its dependencies
 * @returns the membership, once the incarnation of this node is final
 */
export function createMembership(
	options: MembershipOptions,
): Effect.Effect<Membership, MembershipError, Scope.Scope> {
	return Effect.gen(function* () {
		const seeds = yield* readSettingsSeeds(options.seeds);
		const seedRowChecks = yield* Queue.sliding<void>(1);
		const task = createTask(options, seeds, seedRowChecks);
		const running: {loop: EventLoop | undefined} = {loop: undefined};
		const transport = yield* openTransport(task, event => running.loop?.offer(event));
		const loop = startLoop(task, transport);
		const {offer, close} = loop;
		running.loop = loop;
		yield* Effect.forkScoped(
			runSeedTask({...task, offer, settingsSeeds: seeds, hasRows: false}),
		);
		yield* Effect.addFinalizer(() =>
			Effect.sync(() => {
				close({kind: 'farewell'});
			}),
		);
		yield* Effect.promise(async () => task.settled.promise);
		return createApi(task, offer);
	});
}

function readSettingsSeeds(
	texts: readonly string[],
): Effect.Effect<Address[], MembershipError> {
	const addresses: Address[] = [];
	for (const text of texts) {
		const parsed = parseSeedAddress(text);
		if (parsed.isErr()) {
			return Effect.fail(parsed.error);
		}

		addresses.push(parsed.value);
	}

	return Effect.succeed(addresses);
}

function createTask(
	options: MembershipOptions,
	seeds: readonly Address[],
	seedRowChecks: Queue.Queue<void>,
): Task {
	const now = options.now();
	const parameters = {...defaultParameters, ...options.parameters};
	const self: Member = {...options.self, status: memberStatuses.alive, revision: 0};
	const state = createState(self, parameters, now);
	state.seeds = seeds;
	for (const service of options.services ?? []) {
		state.wantedServices.add(service);
	}

	if (seeds.length === 0 && options.readSeeds === undefined) {
		state.settleAt = now;
	}

	return {
		options,
		state,
		listeners: createListeners(),
		settled: createCompletion(),
		leaveCompleted: createCompletion(),
		seedRowChecks,
	};
}

function createCompletion(): Completion {
	let complete!: () => void;
	const promise = new Promise<void>(resolve => {
		complete = resolve;
	});
	return {promise, resolve: complete};
}

function openTransport(
	task: Task,
	offer: (event: MembershipEvent) => void,
): Effect.Effect<Transport, MembershipError, Scope.Scope> {
	const {self, createTransport = createUdpTransport} = task.options;
	if ([self.peerPort, self.controlPort, task.options.listenPort].includes(0)) {
		return Effect.fail({
			kind: 'port-not-fixed',
			message:
				'the peer and control ports are sent to other nodes; set both to fixed ports',
		});
	}

	const host = task.options.listenHost ?? self.host;
	const port = task.options.listenPort ?? self.controlPort;
	const address: Address = {host, port};
	const open = Effect.tryPromise({
		try: async () => createTransport(address, createReceiver(task, offer)),
		catch: (error): MembershipError => ({
			kind: 'control-port-unavailable',
			message: `cannot listen on ${address.host}:${address.port} over UDP (${String(error)}); set a free control port and an address of this VM`,
		}),
	});
	return Effect.acquireRelease(open, transport =>
		Effect.promise(async () => transport.close()),
	);
}

function createReceiver(
	{state}: Task,
	offer: (event: MembershipEvent) => void,
): (bytes: Uint8Array, from: Address) => void {
	return (bytes, from) => {
		state.counters.bytesReceived += bytes.length;
		decodePacket(bytes).match(
			packet => {
				offer({kind: 'packet', packet, from});
			},
			() => {
				state.counters.malformed += 1;
			},
		);
	};
}

function startLoop(task: Task, transport: Transport): EventLoop {
	const {state, options, listeners} = task;
	return createEventLoop({
		handle(event) {
			for (const effect of applyEvent(state, event, options.now(), options.random)) {
				performEffect(task, transport, effect);
			}
		},
		nextTickAt: now => nextTickAt(state, now),
		now: options.now,
		onError: listeners.logFailure,
	});
}

function performEffect(task: Task, transport: Transport, effect: MembershipEffect): void {
	const {listeners, settled, leaveCompleted} = task;
	switch (effect.kind) {
		case 'send': {
			transport.send(effect.address, effect.bytes);
			break;
		}

		case 'memberChanged': {
			listeners.notifyMember(effect.member, effect.previous);
			break;
		}

		case 'versionRaised': {
			listeners.notifyVersion(effect.topic, effect.version, effect.from);
			break;
		}

		case 'proofRenewed': {
			listeners.notifyProof(effect.topic, effect.proof);
			break;
		}

		case 'announced': {
			listeners.notifyAnnouncement(effect.id, effect.payload);
			break;
		}

		case 'settled': {
			settled.resolve();
			break;
		}

		case 'leaveSpread': {
			leaveCompleted.resolve();
			break;
		}

		case 'superseded': {
			listeners.logSuperseded(task.options.self.nodeId, effect.incarnation);
			break;
		}
	}
}

function createApi(task: Task, offer: (event: MembershipEvent) => void): Membership {
	const {state, listeners, leaveCompleted, seedRowChecks} = task;
	return {
		self: () => state.self.member,
		updateSelf(patch) {
			offer({kind: 'updateSelf', patch});
		},
		membersOf(service) {
			if (!state.wantedServices.has(service)) {
				offer({kind: 'want', service});
			}

			return listServiceMembers(state.roster, service);
		},
		find: nodeId => state.roster.records.get(nodeId)?.member,
		all: () => [...state.roster.records.values()].map(({member}) => member),
		onMemberChange: listeners.onMemberChange,
		publishVersion(topic, version) {
			offer({kind: 'publishVersion', topic, version});
		},
		onVersion: listeners.onVersion,
		versionOf: topic => state.topics.get(topic),
		publishProof(topic, proof) {
			offer({kind: 'publishProof', topic, proof});
		},
		onProof: listeners.onProof,
		proofOf: topic => state.proofs.get(topic),
		announce(id, payload, lifetimeMilliseconds) {
			offer({kind: 'announce', id, payload, lifetimeMilliseconds});
		},
		onAnnouncement: listeners.onAnnouncement,
		announcements: () => [...state.announcements.keys()],
		async leave() {
			offer({kind: 'leave'});
			await leaveCompleted.promise;
		},
		checkSeedRow() {
			seedRowChecks.unsafeOffer(undefined);
		},
		lastPacketAt: () => state.lastPacketAt,
		dump: () => createDump(state),
	};
}
