/** Exit codes of the program, the same for every command. */
export const exitCodes = {
	/** The command did what it was asked. */
	done: 0,
	/** Something failed on the way; the message names the remedy. */
	failed: 1,
	/** Arguments or a file are faulty; nothing was changed. */
	badInput: 2,
	/** Another change came first; look at it and try again. */
	conflict: 3,
	/** The node did not answer, so the effect of a change is not known. */
	unreachable: 4,
	/** The token is missing, wrong or of a role that may not do this. */
	forbidden: 5,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
