/**
 * The graceful stop of a node, which interrupts no request: new requests are refused, callers and
 * other nodes are notified, requests in flight finish, and only then do the listeners close.
 */
import process from 'node:process';
import {Deferred, Duration, Effect, type Scope} from 'effect';
import {closeToNewConnections} from '../http/index.js';
import type {Logger} from '../log/index.js';
import type {Membership} from '../membership/index.js';
import type {Gate} from './gate.js';
import type {Ingress} from './ingress.js';
import type {NodeKeys} from './keys.js';

/** Time for callers and other nodes to learn that the node drains before it refuses new connections. */
const drainNoticeMilliseconds = 2000;

/**
 * Handles SIGTERM and SIGINT until the scope is closed; without a handler, a second signal would end the process.
 *
 * @param requested completed by the first signal
 */
export function onStopSignal(
	requested: Deferred.Deferred<void>,
): Effect.Effect<void, never, Scope.Scope> {
	const request = (): void => {
		Deferred.unsafeDone(requested, Effect.void);
	};

	const add = Effect.sync(() => {
		process.on('SIGTERM', request);
		process.on('SIGINT', request);
	});
	const remove = Effect.sync(() => {
		process.removeListener('SIGTERM', request);
		process.removeListener('SIGINT', request);
	});
	return Effect.acquireRelease(add, () => remove);
}

/** The components that take part in a graceful stop. */
export type StopComponents = {
	readonly ingress: Ingress;
	readonly gate: Gate;
	readonly membership: Membership;
	readonly keys: NodeKeys;
	readonly log: Logger;
};

/**
 * Stops a node gracefully; completes once nothing is in flight. The listeners close with the scope.
 *
 * @param components the components that take part
 */
export function stopNode(components: StopComponents): Effect.Effect<void> {
	const {ingress, gate, keys, membership, log} = components;
	return Effect.gen(function* () {
		log.info('node leaving', {inFlight: gate.state().inFlight});
		gate.setDraining(true);
		ingress.startDraining();
		yield* Effect.promise(async () => membership.leave());
		yield* Effect.sleep(Duration.millis(drainNoticeMilliseconds));
		yield* Effect.promise(async () => closeToNewConnections(ingress.server));
		yield* Effect.promise(keys.close);
		yield* Effect.promise(async () => ingress.drained());
		yield* Effect.promise(async () => gate.drained());
		log.info('node stopped');
	});
}
