/** How many gates share the limits of a service. */
import type {Member} from '../membership/index.js';

/**
 * Counts the gates of a service; one that is held dead may only be cut off, and go on.
 *
 * @param members the known members
 * @param service name of the service
 * @returns the number of gates
 */
export function countGates(members: readonly Member[], service: string): number {
	return members.filter(member => member.service === service).length;
}
