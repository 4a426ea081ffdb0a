/**
 * Chooses which nodes poll the table: in each failure domain the few whose scores are highest, by
 * rendezvous hashing over the members that live. Every node decides for itself; nodes with the
 * same view of the members agree, and when one dies the next takes its turn.
 */
import {createHash} from 'node:crypto';
import {memberStatuses, type Member} from './member.js';

type Candidate = Pick<Member, 'nodeId' | 'failureDomain' | 'status'>;

/**
 * Tells whether a node is one of its failure domain's pollers.
 *
 * @param self the node
 * @param members the members that the node knows, itself included or not
 * @param pollersPerDomain how many poll in each failure domain
 */
export function isPoller(
	self: Pick<Member, 'nodeId' | 'failureDomain'>,
	members: Iterable<Candidate>,
	pollersPerDomain: number,
): boolean {
	const ownScore = score(self.nodeId);
	let ahead = 0;
	for (const member of members) {
		const isRival =
			member.failureDomain === self.failureDomain &&
			member.status === memberStatuses.alive &&
			member.nodeId !== self.nodeId;
		if (isRival && score(member.nodeId) > ownScore) {
			ahead += 1;
		}

		if (ahead >= pollersPerDomain) {
			return false;
		}
	}

	return true;
}

function score(nodeId: string): string {
	return createHash('sha256').update(nodeId).digest('hex');
}
