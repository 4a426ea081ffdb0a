/**
 * Cancelling an attempt at another node's gate, and learning whether it ever reached the
 * server. The answer counts only from the very life of the node that the attempt was sent to:
 * a restarted node knows nothing of what its predecessor did.
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

/** Asks gates about attempts. */
export type AttemptCanceller = {
	/** Resolves true only if the attempt never was and never will be handed to the server. */
	readonly confirmNotRun: (
		member: Member,
		id: AttemptId,
		timeoutMilliseconds: number,
	) => Promise<boolean>;
	readonly close: () => void;
};

const proofs: ReadonlySet<CancellationResult> = new Set([
	cancellationResults.neverDispatched,
	cancellationResults.withdrawn,
]);

/**
 * Offers the cancelling of attempts to other nodes.
 *
 * @param self names this life of the node
 * @param cancel cancels an attempt at the node's own gate
 * @returns the service for the control listener
 */
export function createAttemptControlService(
	self: () => Pick<Member, 'nodeId' | 'incarnation'>,
	cancel: (id: AttemptId) => CancellationResult,
): ControlService {
	const implementation: AttemptControlServer = {
		cancelAttempt(call, callback) {
			sendControlReply(callback, decide(call.request));
		},
	};

	function decide(request: CancelAttemptRequest): CancelAttemptReply {
		const {nodeId, incarnation} = self();
		if (request.nodeId !== nodeId || request.incarnation !== incarnation) {
			return {neverDispatched: false};
		}

		const {ingress, sequence} = request;
		return {neverDispatched: proofs.has(cancel({ingress, sequence}))};
	}

	return {definition: AttemptControlService, implementation};
}

/**
 * Creates the asking side.
 *
 * @returns a canceller; an answer that does not come in time proves nothing
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
