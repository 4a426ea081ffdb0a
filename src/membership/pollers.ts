/**
 * Chooses which nodes poll the table: in each failure domain the few alive members with the
 * highest scores, by rendezvous hashing. Every node decides for itself; nodes with the same view
 * of the members agree, and when a poller dies the next node takes over.
 */
import {createHash} from 'node:crypto';
import {memberStatuses, type Member} from './member.js';

type Candidate = Pick<Member, 'nodeId' | 'failureDomain' | 'status'>;

/**
 * Tells whether a node is one of its failure domain's pollers.
 *
 * @param self the node
 * @param members the members that the node knows, with or without itself
 * @param pollersPerDomain number of pollers in each failure domain
 */
export function isPoller(
	self: Pick<Member, 'nodeId' | 'failureDomain'>,
	members: Iterable<Candidate>,
	pollersPerDomain: number,
): boolean {
	const ownScore = score(self.nodeId);
	let higherCount = 0;
	for (const member of members) {
		const isCandidate =
			member.failureDomain === self.failureDomain &&
			member.status === memberStatuses.alive &&
			member.nodeId !== self.nodeId;
		if (isCandidate && score(member.nodeId) > ownScore) {
			higherCount += 1;
		}

		if (higherCount >= pollersPerDomain) {
			return false;
		}
	}

	return true;
}

/** A node that hears nothing for this long is isolated; each node is probed about once a second. */
const isolationMilliseconds = 1200;

/**
 * Tells whether a node is cut off from the others, so that it cannot rely on their pollers.
 *
 * @param lastPacketAt monotonic time at which it last received a packet, in milliseconds
 * @param now monotonic time in milliseconds
 */
export function isIsolated(lastPacketAt: number, now: number): boolean {
	return now - lastPacketAt > isolationMilliseconds;
}

function score(nodeId: string): string {
	return createHash('sha256').update(nodeId).digest('hex');
}
