import {initTRPC} from '@trpc/server';

/** The tRPC instance of the control routers. */
export const controlTrpc = initTRPC.create();
