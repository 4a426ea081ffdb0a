/** Exit codes of the program, the same for every command. */
export const exitCodes = {
	/** The command succeeded. */
	done: 0,
	/** The command failed; the message states the remedy. */
	failed: 1,
	/** An argument or a file is invalid; nothing was changed. */
	badInput: 2,
	/** Another change was accepted first; check it and try again. */
	conflict: 3,
	/** The node or the table did not respond; the effect of a change may be unknown. */
	unreachable: 4,
	/** The token is missing, unknown, or lacks the required role or team. */
	forbidden: 5,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
