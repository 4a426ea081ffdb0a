/**
 * A node from start to stop: creates the tasks, binds their listeners, and on a stop signal
 * lets go in an order that cuts nothing: new work is refused, work in flight is finished, and
 * only then do the listeners close.
 */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {Deferred, Duration, Effect, Schedule, type Scope} from 'effect';
import {formatIngress} from '../call/index.js';
import type {Logger} from '../log/index.js';
import {memberStatuses, type Member} from '../membership/index.js';
import type {Settings} from '../settings/index.js';
import {
	announcementLeaseMilliseconds,
	createAnnouncements,
	serverHealths,
	type Announced,
} from './announcements.js';
import {createCallRunner} from './call-runner.js';
import {createFixedDirectory, type Directory} from './directory.js';
import {createGate, type Gate} from './gate.js';
import {createIngress, type Ingress} from './ingress.js';
import {
	createAttemptCanceller,
	createAttemptControl,
	type AttemptCanceller,
} from './attempt-control.js';
import {listenForControl} from './control.js';
import {listen, type ListenError} from './listener.js';
import {createPeerClient, type PeerClient} from './peer-client.js';
import {createPeerListener} from './peer-listener.js';

/** The ports that a node is bound to. */
export type NodePorts = {
	readonly data: number;
	readonly peer: number;
	readonly control: number;
	readonly local: number;
};

/** A node that listens. */
export type RunningNode = {
	readonly ports: NodePorts;
	/** Leaves in order; resolves once nothing is in flight. */
	readonly stop: Effect.Effect<void>;
};

/** Callers and other nodes learn of the leave before the listeners close. */
const leaveNoticeMilliseconds = 2000;

const now = (): number => performance.now();

/**
 * Starts a node for as long as the scope lives.
 *
 * @param settings checked settings
 * @param log where changes of state are logged
 * @returns the node, listening
 */
export function startNode(
	settings: Settings,
	log: Logger,
): Effect.Effect<RunningNode, ListenError, Scope.Scope> {
	return Effect.gen(function* () {
		const incarnation = Date.now();
		const directory = createFixedDirectory(
			createSelf(settings, incarnation),
			settings.members,
		);
		const gate = createGate({now});
		const peers = createPeerClient(now);
		const canceller = createAttemptCanceller();
		const ingress = createNodeIngress({settings, directory, gate, peers, canceller});
		const announcements = createAnnouncements({
			now,
			onChange(announced) {
				applyAnnouncement(announced, gate, directory, log);
			},
		});
		const peerListener = createPeerListener({run: gate.run, now});
		const {host} = settings.node;
		const ports = {
			data: yield* listen(ingress.server, host, settings.listeners.data),
			peer: yield* listen(peerListener, host, settings.listeners.peer),
			control: yield* listenForControl(
				[createAttemptControl(directory.self, gate.cancelAttempt)],
				host,
				settings.listeners.control,
			),
			local: yield* listen(announcements.server, host, settings.listeners.local),
		};
		yield* expireRegularly(announcements.expire);
		yield* Effect.addFinalizer(() =>
			Effect.sync(() => {
				gate.close();
				peers.close();
				canceller.close();
			}),
		);
		log.info('node started', {nodeId: settings.node.id, incarnation, ...ports});
		return {ports, stop: stopNode({ingress, gate, directory, log})};
	});
}

/**
 * Runs a node until a stop signal arrives.
 *
 * @param settings checked settings
 * @param log where changes of state are logged
 * @param onStarted is called with the bound ports
 */
export function runNode(
	settings: Settings,
	log: Logger,
	onStarted: (ports: NodePorts) => void,
): Effect.Effect<void, ListenError> {
	return Effect.scoped(
		Effect.gen(function* () {
			const stopRequested = yield* Deferred.make<void>();
			yield* onStopSignal(stopRequested);
			const node = yield* startNode(settings, log);
			onStarted(node.ports);
			yield* Deferred.await(stopRequested);
			yield* node.stop;
		}),
	);
}

function createSelf(settings: Settings, incarnation: number): Member {
	return {
		nodeId: settings.node.id,
		incarnation,
		status: memberStatuses.alive,
		host: settings.node.host,
		peerPort: settings.advertise.peer ?? settings.listeners.peer,
		controlPort: settings.advertise.control ?? settings.listeners.control,
		region: settings.node.region,
		failureDomain: settings.node.failureDomain,
		slots: 0,
		revision: 0,
	};
}

type IngressParts = {
	readonly settings: Settings;
	readonly directory: Directory;
	readonly gate: Gate;
	readonly peers: PeerClient;
	readonly canceller: AttemptCanceller;
};

function createNodeIngress(parts: IngressParts): Ingress {
	const {settings, directory, gate, peers, canceller} = parts;
	const self = directory.self();
	const runCall = createCallRunner({
		ingressName: formatIngress(self.nodeId, self.incarnation),
		wallClock: Date.now,
		now,
		choose: (head, excluded) =>
			directory.membersOf(head.service).find(member => !excluded.has(member.nodeId)),
		send: (member, request) =>
			member.nodeId === self.nodeId ? gate.run(request) : peers.send(member, request),
		confirmNotRun: canceller.confirmNotRun,
		grantRetry: () => true,
	});
	return createIngress({now, findPolicy: service => settings.services[service], runCall});
}

function applyAnnouncement(
	announced: Announced | undefined,
	gate: Gate,
	directory: Directory,
	log: Logger,
): void {
	const serving =
		announced?.health === serverHealths.serving ? announced.server : undefined;
	const previous = directory.self();
	gate.setServer(serving);
	if (previous.service === serving?.service && previous.slots === (serving?.slots ?? 0)) {
		return;
	}

	directory.updateSelf({service: serving?.service, slots: serving?.slots ?? 0});
	log.info('server changed', {server: serving?.name, service: serving?.service});
}

function expireRegularly(expire: () => void): Effect.Effect<void, never, Scope.Scope> {
	const interval = Duration.millis(announcementLeaseMilliseconds / 10);
	return Effect.sync(expire).pipe(
		Effect.repeat(Schedule.spaced(interval)),
		Effect.forkScoped,
		Effect.asVoid,
	);
}

function onStopSignal(
	requested: Deferred.Deferred<void>,
): Effect.Effect<void, never, Scope.Scope> {
	const request = (): void => {
		Deferred.unsafeDone(requested, Effect.void);
	};

	const add = Effect.sync(() => {
		process.once('SIGTERM', request);
		process.once('SIGINT', request);
	});
	const remove = Effect.sync(() => {
		process.removeListener('SIGTERM', request);
		process.removeListener('SIGINT', request);
	});
	return Effect.acquireRelease(add, () => remove);
}

type StopParts = {
	readonly ingress: Ingress;
	readonly gate: Gate;
	readonly directory: Directory;
	readonly log: Logger;
};

function stopNode(parts: StopParts): Effect.Effect<void> {
	const {ingress, gate, directory, log} = parts;
	return Effect.gen(function* () {
		log.info('node leaving', {inFlight: gate.state().inFlight});
		gate.setLeaving(true);
		directory.updateSelf({status: memberStatuses.leaving});
		ingress.setLeaving();
		yield* Effect.sleep(Duration.millis(leaveNoticeMilliseconds));
		ingress.server.close();
		yield* Effect.promise(async () => ingress.drained());
		yield* Effect.promise(async () => gate.drained());
		log.info('node stopped');
	});
}
