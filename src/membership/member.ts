/**
 * A member of the mesh as every node sees it: one node and the server beside it.
 */
export const memberStatuses = {
	alive: 'alive',
	suspect: 'suspect',
	leaving: 'leaving',
	dead: 'dead',
} as const;

export type MemberStatus = (typeof memberStatuses)[keyof typeof memberStatuses];

/** Where a node stands and how it is reached. All ports are TCP; gossip uses UDP on `controlPort`. */
export type Member = {
	/** Name of the node, unique in the mesh. */
	readonly nodeId: string;
	/** Number of this life of the node; a later life has a higher number. */
	readonly incarnation: number;
	readonly status: MemberStatus;
	/** IP address. */
	readonly host: string;
	/** Port of the calls that come from other nodes. */
	readonly peerPort: number;
	/** Port of the control messages: gRPC over TCP, gossip over UDP. */
	readonly controlPort: number;
	readonly region: string;
	readonly failureDomain: string;
	/** Service of the server beside the node; absent while no server has announced itself. */
	readonly service?: string;
	/** Requests that the server runs at once; zero while no server has announced itself. */
	readonly slots: number;
	/** Higher replaces lower within one incarnation. */
	readonly revision: number;
};
