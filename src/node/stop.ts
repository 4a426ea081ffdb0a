/**
 * The planned stop of a node, in an order that cuts nothing: new work is refused, callers and
 * other nodes are told, work in flight is finished, and only then do the listeners close.
 */
import process from 'node:process';
import {Deferred, Duration, Effect, type Scope} from 'effect';
import {closeToNewConnections} from '../http/index.js';
import type {Logger} from '../log/index.js';
import type {Membership} from '../membership/index.js';
import type {Gate} from './gate.js';
import type {Ingress} from './ingress.js';
import type {NodeKeys} from './keys.js';

/** Callers and other nodes learn of the leave before the listeners close. */
const leaveNoticeMilliseconds = 2000;

/**
 * Listens for the stop signals for as long as the scope lives.
 *
 * @param requested is completed by the first signal
 */
export function onStopSignal(
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

/** What takes part in a planned stop. */
export type StopParts = {
	readonly ingress: Ingress;
	readonly gate: Gate;
	readonly membership: Membership;
	readonly keys: NodeKeys;
	readonly log: Logger;
};

/**
 * Stops a node as planned; ends once nothing is in flight. The listeners close with the scope.
 *
 * @param parts what takes part
 */
export function stopNode(parts: StopParts): Effect.Effect<void> {
	const {ingress, gate, keys, membership, log} = parts;
	return Effect.gen(function* () {
		log.info('node leaving', {inFlight: gate.state().inFlight});
		gate.setDraining(true);
		ingress.startDraining();
		yield* Effect.promise(async () => membership.leave());
		yield* Effect.sleep(Duration.millis(leaveNoticeMilliseconds));
		yield* Effect.promise(async () => closeToNewConnections(ingress.server));
		yield* Effect.promise(keys.close);
		yield* Effect.promise(async () => ingress.drained());
		yield* Effect.promise(async () => gate.drained());
		log.info('node stopped');
	});
}
