/** What the rest of a node sees of membership. */
import {type CreateTransport} from './transport.js';
import {type Member} from './member.js';
import {type MembershipParameters} from './parameters.js';
import {type SeedRow} from './seeds.js';
import {type SelfPatch} from './state.js';

/** Told of each change; `previous` is undefined for a member that was not known. */
export type MemberListener = (member: Member, previous: Member | undefined) => void;
/** Told of each version that rises; `from` names the node that sent the news. */
export type VersionListener = (topic: string, version: number, from: string) => void;
/** Told of each announcement of another node, once. */
export type AnnouncementListener = (id: string, payload: Uint8Array) => void;

/** The members of the mesh as one node sees them, and the news that it shares with them. */
export type Membership = {
	/** This node as it describes itself. */
	readonly self: () => Member;
	/** Changes what this node says of itself, and spreads it. */
	readonly updateSelf: (patch: SelfPatch) => void;
	/**
	 * Lists the alive and leaving members of a service; the same array until one of them
	 * changes. The first call for a service asks peers for its members.
	 */
	readonly membersOf: (service: string) => readonly Member[];
	readonly find: (nodeId: string) => Member | undefined;
	/** Lists every member that is known, the dead as well. */
	readonly all: () => readonly Member[];
	readonly onMemberChange: (listener: MemberListener) => void;
	/** Tells every node of a version; a version that is not higher is ignored. */
	readonly publishVersion: (topic: string, version: number) => void;
	readonly onVersion: (listener: VersionListener) => void;
	/** Highest version of a topic that this node knows. */
	readonly versionOf: (topic: string) => number | undefined;
	/** Tells every node once; `payload` holds at most 600 bytes. */
	readonly announce: (
		id: string,
		payload: Uint8Array,
		lifetimeMilliseconds: number,
	) => void;
	readonly onAnnouncement: (listener: AnnouncementListener) => void;
	/** Spreads that this node leaves; resolves once enough peers know or a bound has passed. */
	readonly leave: () => Promise<void>;
	/** The whole state for a dump. */
	readonly dump: () => Record<string, unknown>;
};

/** A node without what it says of others' business: status and revision are membership's own. */
export type SelfDescription = Omit<Member, 'status' | 'revision'>;

export type MembershipOptions = {
	/** This node; `incarnation` is the wall-clock time of its start in milliseconds. */
	readonly self: SelfDescription;
	/** Control addresses of other nodes, `host:port`, from the settings. */
	readonly seeds: readonly string[];
	/** Reads control addresses from the platform's table; may fail or hang. */
	readonly readSeeds?: () => Promise<readonly string[]>;
	/** Writes a seed row to the platform's table; may fail or hang. */
	readonly writeSeed?: (row: SeedRow) => Promise<void>;
	/** Services whose members are asked for first. */
	readonly services?: readonly string[];
	/** Address to listen at; that of `self` when absent. */
	readonly listenHost?: string;
	/** UDP port to listen at; the control port of `self` when absent. */
	readonly listenPort?: number;
	/** Gives monotonic milliseconds. */
	readonly now: () => number;
	/** Gives numbers from 0 to below 1. */
	readonly random: () => number;
	readonly createTransport?: CreateTransport;
	readonly parameters?: Partial<MembershipParameters>;
};

/** Why membership could not start. */
export type MembershipError = {
	readonly kind: 'control-port-unavailable' | 'port-not-fixed' | 'seed-address-invalid';
	readonly message: string;
};
