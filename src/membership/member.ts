/**
 * A member of the mesh: one node and the server beside it, as gossip describes them.
 */
export const memberStatuses = {
	alive: 'alive',
	suspect: 'suspect',
	leaving: 'leaving',
	dead: 'dead',
} as const;

export type MemberStatus = (typeof memberStatuses)[keyof typeof memberStatuses];

/** Location, ports and status of a node. All ports are TCP; gossip uses UDP on `controlPort`. */
export type Member = {
	/** Name of the node, unique in the mesh. */
	readonly nodeId: string;
	/** Identifies one run of the node process; a later run has a higher number. */
	readonly incarnation: number;
	readonly status: MemberStatus;
	/** IP address. */
	readonly host: string;
	/** Port for calls from other nodes. */
	readonly peerPort: number;
	/** Port for control messages: gRPC over TCP, gossip over UDP. */
	readonly controlPort: number;
	readonly region: string;
	readonly failureDomain: string;
	/** Service of the server beside the node; absent while no server has announced itself. */
	readonly service?: string;
	/** Maximum concurrent requests of the server; zero while no server has announced itself. */
	readonly slots: number;
	/** Orders updates within one incarnation; the highest wins. */
	readonly revision: number;
};
