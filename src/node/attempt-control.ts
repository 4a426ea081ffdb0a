/**
 * Cancels an attempt at another node's gate and finds out whether it was dispatched to the server.
 * Only the incarnation that the attempt was sent to can tell: a restarted node does not know what
 * its previous incarnation dispatched.
 */
import {
	type AttemptId,
	type CancellationResult,
	cancellationResults,
} from '../call/index.js';
import {
	AttemptControlClient,
	AttemptControlService,
	type AttemptControlServer,
	type CancelAttemptReply,
	type CancelAttemptRequest,
} from '../generated/attempt.js';
import type {Member} from '../membership/index.js';
import {
	sendControlRequest,
	createControlClients,
	sendControlReply,
	type ControlService,
} from './control.js';

/** Cancels attempts at the gates of other nodes. */
export type AttemptCanceller = {
	/** Resolves to true only if the attempt was never and will never be dispatched. */
	readonly confirmNotRun: (
		member: Member,
		id: AttemptId,
		timeoutMilliseconds: number,
	) => Promise<boolean>;
	readonly close: () => void;
};

const neverDispatchedResults: ReadonlySet<CancellationResult> = new Set([
	cancellationResults.neverDispatched,
	cancellationResults.withdrawn,
]);

/**
 * Creates the control service by which other nodes cancel attempts.
 *
 * @param self returns this node's id and incarnation
 * @param cancel cancels an attempt at the node's own gate
 * @returns the service for the control listener
 */
export function createAttemptControlService(
	self: () => Pick<Member, 'nodeId' | 'incarnation'>,
	cancel: (id: AttemptId) => CancellationResult,
): ControlService {
	const implementation: AttemptControlServer = {
		cancelAttempt(call, callback) {
			sendControlReply(callback, handleCancellation(call.request));
		},
	};

	function handleCancellation(request: CancelAttemptRequest): CancelAttemptReply {
		const {nodeId, incarnation} = self();
		if (request.nodeId !== nodeId || request.incarnation !== incarnation) {
			return {neverDispatched: false};
		}

		const {ingress, sequence} = request;
		return {neverDispatched: neverDispatchedResults.has(cancel({ingress, sequence}))};
	}

	return {definition: AttemptControlService, implementation};
}

/**
 * Creates the client side.
 *
 * @returns a canceller; a timeout counts as not confirmed
 */
export function createAttemptCanceller(): AttemptCanceller {
	const clients = createControlClients(AttemptControlClient);
	return {
		async confirmNotRun(member, id, timeoutMilliseconds) {
			const request = {...id, nodeId: member.nodeId, incarnation: member.incarnation};
			const client = clients.getClient(member.host, member.controlPort);
			const reply = await sendControlRequest<CancelAttemptReply>(
				(metadata, options, callback) => {
					client.cancelAttempt(request, metadata, options, callback);
				},
				timeoutMilliseconds,
			);
			return reply?.neverDispatched === true;
		},
		close: clients.close,
	};
}
