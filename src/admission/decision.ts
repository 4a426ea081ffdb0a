/** The decisions of admission about requests. */

/** Reasons to refuse a request before it reaches the server. */
export const refusalReasons = {
	/** The queue is full, and no waiting request may be displaced by it. */
	queueFull: 'queue-full',
	/** It was queued, and another request took its place. */
	displaced: 'displaced',
	/** The estimated wait and service time exceed the time left until the deadline. */
	tooLate: 'too-late',
	/** Its deadline passed while it waited. */
	expired: 'expired',
	/** A request with the same id is already running or waiting. */
	duplicate: 'duplicate',
} as const;

export type RefusalReason = (typeof refusalReasons)[keyof typeof refusalReasons];

/** A request that was refused and will not be dispatched by this gate. */
export type RefusedRequest = {
	readonly id: string;
	readonly reason: RefusalReason;
	/** When a retry is likely to be admitted, in milliseconds from now. */
	readonly retryAfterMilliseconds: number;
};

export const offerKinds = {
	dispatch: 'dispatch',
	queued: 'queued',
	refused: 'refused',
} as const;

/** The decision about a request that is offered to a gate. */
export type OfferResult =
	| {readonly kind: typeof offerKinds.dispatch}
	| {
			readonly kind: typeof offerKinds.queued;
			/** A waiting request that is refused to make room for this one. */
			readonly displaced: RefusedRequest | undefined;
	  }
	| {
			readonly kind: typeof offerKinds.refused;
			readonly reason: RefusalReason;
			/** When a retry is likely to be admitted, in milliseconds from now. */
			readonly retryAfterMilliseconds: number;
	  };

/** What follows when slots become free. */
export type SlotAssignment = {
	/** Ids of waiting requests to hand to the server now. */
	readonly dispatch: readonly string[];
	/** Waiting requests that can no longer be answered in time. */
	readonly refused: readonly RefusedRequest[];
};
