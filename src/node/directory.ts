/**
 * The directory that the ingress chooses from: members by service. This one is fixed by the
 * settings but for the node itself.
 */
import {memberStatuses, type Member} from '../membership/index.js';
import type {Settings} from '../settings/index.js';

export type Directory = {
	readonly self: () => Member;
	readonly updateSelf: (
		patch: Partial<Pick<Member, 'service' | 'slots' | 'status'>>,
	) => void;
	readonly membersOf: (service: string) => readonly Member[];
	readonly find: (nodeId: string) => Member | undefined;
};

/**
 * Creates a directory of fixed members.
 *
 * @param self the node itself
 * @param members the other nodes, from the settings
 * @returns the directory
 */
export function createFixedDirectory(
	self: Member,
	members: Settings['members'],
): Directory {
	let current = self;
	const others = members
		.filter(member => member.nodeId !== self.nodeId)
		.map(member => ({
			...member,
			incarnation: 0,
			revision: 0,
			status: memberStatuses.alive,
		}));
	return {
		self: () => current,
		updateSelf(patch) {
			current = {...current, ...patch, revision: current.revision + 1};
		},
		membersOf: service =>
			[current, ...others].filter(member => member.service === service),
		find: nodeId => [current, ...others].find(member => member.nodeId === nodeId),
	};
}
